package org.banyanspoke.standins.backend;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.banyanspoke.standins.VertxFutures;

/** Slots and task queue of a simulated backend server. Confined to the event loop of the server. */
final class TaskExecutor {
    private static final int DONE_STATUS = 200;
    private static final int FAILED_STATUS = 500;
    private static final int REFUSED_STATUS = 503;

    private final String server;
    private final Ledger ledger;
    private final Supplier<ServerOptions> options;
    private final DoubleSupplier random;
    private final Consumer<Runnable> runWhenUnfrozen;
    private final Predicate<HttpConnection> isSilent;
    private final BiConsumer<HttpServerRequest, Runnable> afterNetworkDelay;
    private final Deque<TaskRun> queue = new ArrayDeque<>();
    private final Map<String, TaskRun> byAttempt = new HashMap<>();
    private Vertx vertx;
    private String incarnation = newIncarnation();
    private int running;

    TaskExecutor(
            String server,
            Ledger ledger,
            Supplier<ServerOptions> options,
            DoubleSupplier random,
            Consumer<Runnable> runWhenUnfrozen,
            Predicate<HttpConnection> isSilent,
            BiConsumer<HttpServerRequest, Runnable> afterNetworkDelay) {
        this.server = server;
        this.ledger = ledger;
        this.options = options;
        this.random = random;
        this.runWhenUnfrozen = runWhenUnfrozen;
        this.isSilent = isSilent;
        this.afterNetworkDelay = afterNetworkDelay;
    }

    void setVertx(Vertx newVertx) {
        vertx = newVertx;
    }

    /** Generates a new incarnation id, as a process restart does. */
    void renewIncarnation() {
        incarnation = newIncarnation();
    }

    void submit(HttpServerRequest request, String attempt, String body) {
        ledger.countRequest(Ledger.RequestKind.TASK);
        TaskAttemptId id = new TaskAttemptId(header(request, "Job-Id"), header(request, "Task-Id"), attempt);
        if (options.get().leaving()) {
            refuse(new TaskRun(request, id, null));
        } else if (options.get().instant()) {
            runInstantly(request, id);
        } else {
            enqueue(new TaskRun(request, id, TaskPayload.parse(body)));
        }
    }

    void stop(String attempt) {
        TaskRun run = byAttempt.get(attempt);
        if (run != null) {
            endRun(run, Outcome.STOPPED);
        }
    }

    void dropAll() {
        for (TaskRun run : List.copyOf(byAttempt.values())) {
            endRun(run, Outcome.DROPPED);
        }
    }

    /** Adds the incarnation, state and load headers. */
    HttpServerResponse addServerHeaders(HttpServerResponse response) {
        response.putHeader("Server-Incarnation", incarnation);
        response.putHeader("Server-State", options.get().leaving() ? "leaving" : "in_service");
        if (options.get().reportsLoad()) {
            response.putHeader("endpoint-load-metrics", load());
        }
        return response;
    }

    private String load() {
        return "TEXT named_metrics.running=" + running + ", named_metrics.queued=" + queue.size()
                + ", named_metrics.slots=" + options.get().slots();
    }

    private void runInstantly(HttpServerRequest request, TaskAttemptId id) {
        ledger.recordStart(server, id);
        ledger.recordFinish(server, id, Outcome.DONE);
        respond(new TaskRun(request, id, null), DONE_STATUS, id.taskId());
    }

    private void enqueue(TaskRun run) {
        byAttempt.put(run.id.attempt(), run);
        String lease = run.request.getHeader("Task-Lease-Millis");
        if (lease != null) {
            long leaseMillis = Math.max(1, Long.parseLong(lease));
            run.leaseTimer = vertx.setTimer(
                    leaseMillis, timer -> runWhenUnfrozen.accept(() -> endRun(run, Outcome.LEASE_EXPIRED)));
        }
        queue.add(run);
        fillSlots();
    }

    private void fillSlots() {
        while (running < options.get().slots() && !queue.isEmpty()) {
            startRun(queue.poll());
        }
    }

    private void startRun(TaskRun run) {
        running++;
        run.running = true;
        ledger.recordStart(server, run.id);
        Outcome outcome = options.get().failEverything()
                        || run.payload.fail()
                        || random.getAsDouble() < options.get().errorFraction()
                ? Outcome.FAILED
                : Outcome.DONE;
        run.runTimer = vertx.setTimer(runMillis(run), timer -> runWhenUnfrozen.accept(() -> endRun(run, outcome)));
    }

    private long runMillis(TaskRun run) {
        ServerOptions now = options.get();
        if (now.failEverything()) {
            return Math.max(1, now.failMillis());
        }
        double factor = random.getAsDouble() < now.stragglerFraction() ? now.stragglerFactor() : 1;
        return Math.max(1, Math.round(run.payload.runMillis() * factor / now.speed()));
    }

    private void endRun(TaskRun run, Outcome outcome) {
        if (run.ended) {
            return;
        }
        run.ended = true;
        byAttempt.remove(run.id.attempt(), run);
        vertx.cancelTimer(run.runTimer);
        vertx.cancelTimer(run.leaseTimer);
        if (!run.running) {
            queue.remove(run);
            if (outcome != Outcome.DROPPED) {
                refuse(run);
            }
            return;
        }
        running--;
        ledger.recordFinish(server, run.id, outcome);
        if (outcome != Outcome.DROPPED) {
            boolean done = outcome == Outcome.DONE;
            respond(run, done ? DONE_STATUS : FAILED_STATUS, done ? run.result() : outcome.name());
            fillSlots();
        }
    }

    private void refuse(TaskRun run) {
        ledger.countRequest(Ledger.RequestKind.REFUSED);
        run.request.response().putHeader("Task-Started", "false");
        respond(run, REFUSED_STATUS, "");
    }

    private void respond(TaskRun run, int status, String body) {
        HttpServerResponse response = run.request.response();
        response.setStatusCode(status).putHeader("Task-Attempt", run.id.attempt());
        addServerHeaders(response);
        afterNetworkDelay.accept(run.request, () -> send(run, body));
    }

    private void send(TaskRun run, String body) {
        if (isSilent.test(run.request.connection())) {
            return;
        }
        VertxFutures.ignoreFailure(run.request.response().end(body));
    }

    private static String header(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    private static String newIncarnation() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }
}
