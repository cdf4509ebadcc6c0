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
import org.banyanspoke.standins.Exchanges;

/** Slots and queue of one backend server. Used on the server's event loop only. */
final class TaskExecutor {
    private static final int DONE_STATUS = 200;
    private static final int FAILED_STATUS = 500;
    private static final int REFUSED_STATUS = 503;

    private final String server;
    private final Ledger ledger;
    private final Supplier<ServerOptions> options;
    private final DoubleSupplier random;
    private final Consumer<Runnable> whenThawed;
    private final Predicate<HttpConnection> silent;
    private final BiConsumer<HttpServerRequest, Runnable> afterOneWay;
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
            Consumer<Runnable> whenThawed,
            Predicate<HttpConnection> silent,
            BiConsumer<HttpServerRequest, Runnable> afterOneWay) {
        this.server = server;
        this.ledger = ledger;
        this.options = options;
        this.random = random;
        this.whenThawed = whenThawed;
        this.silent = silent;
        this.afterOneWay = afterOneWay;
    }

    void bind(Vertx owner) {
        vertx = owner;
    }

    /** Takes a new incarnation, as a new process does. */
    void renew() {
        incarnation = newIncarnation();
    }

    void submit(HttpServerRequest request, String attempt, String body) {
        ledger.received(Ledger.RequestKind.TASK);
        TaskKey key = new TaskKey(header(request, "Job-Id"), header(request, "Task-Id"), attempt);
        if (options.get().leaving()) {
            refuse(new TaskRun(request, key, null));
        } else if (options.get().instant()) {
            runInstantly(request, key);
        } else {
            enqueue(new TaskRun(request, key, TaskPayload.parse(body)));
        }
    }

    void stop(String attempt) {
        TaskRun run = byAttempt.get(attempt);
        if (run != null) {
            end(run, Outcome.STOPPED);
        }
    }

    void dropAll() {
        for (TaskRun run : List.copyOf(byAttempt.values())) {
            end(run, Outcome.DROPPED);
        }
    }

    /** Adds the headers that every response carries. */
    HttpServerResponse describe(HttpServerResponse response) {
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

    private void runInstantly(HttpServerRequest request, TaskKey key) {
        ledger.started(server, key);
        ledger.finished(server, key, Outcome.DONE);
        respond(new TaskRun(request, key, null), DONE_STATUS, key.taskId());
    }

    private void enqueue(TaskRun run) {
        byAttempt.put(run.key.attempt(), run);
        String lease = run.request.getHeader("Task-Lease-Millis");
        if (lease != null) {
            long leaseMillis = Math.max(1, Long.parseLong(lease));
            run.leaseTimer =
                    vertx.setTimer(leaseMillis, timer -> whenThawed.accept(() -> end(run, Outcome.LEASE_EXPIRED)));
        }
        queue.add(run);
        fillSlots();
    }

    private void fillSlots() {
        while (running < options.get().slots() && !queue.isEmpty()) {
            begin(queue.poll());
        }
    }

    private void begin(TaskRun run) {
        running++;
        run.running = true;
        ledger.started(server, run.key);
        Outcome outcome = options.get().failEverything()
                        || run.payload.fail()
                        || random.getAsDouble() < options.get().errorFraction()
                ? Outcome.FAILED
                : Outcome.DONE;
        run.runTimer = vertx.setTimer(runMillis(run), timer -> whenThawed.accept(() -> end(run, outcome)));
    }

    private long runMillis(TaskRun run) {
        ServerOptions now = options.get();
        if (now.failEverything()) {
            return Math.max(1, now.failMillis());
        }
        double factor = random.getAsDouble() < now.stragglerFraction() ? now.stragglerFactor() : 1;
        return Math.max(1, Math.round(run.payload.runMillis() * factor / now.speed()));
    }

    private void end(TaskRun run, Outcome outcome) {
        if (run.ended) {
            return;
        }
        run.ended = true;
        byAttempt.remove(run.key.attempt(), run);
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
        ledger.finished(server, run.key, outcome);
        if (outcome != Outcome.DROPPED) {
            boolean done = outcome == Outcome.DONE;
            respond(run, done ? DONE_STATUS : FAILED_STATUS, done ? run.result() : outcome.name());
            fillSlots();
        }
    }

    private void refuse(TaskRun run) {
        ledger.received(Ledger.RequestKind.REFUSED);
        run.request.response().putHeader("Task-Started", "false");
        respond(run, REFUSED_STATUS, "");
    }

    private void respond(TaskRun run, int status, String body) {
        HttpServerResponse response = run.request.response();
        response.setStatusCode(status).putHeader("Task-Attempt", run.key.attempt());
        describe(response);
        afterOneWay.accept(run.request, () -> send(run, body));
    }

    private void send(TaskRun run, String body) {
        if (silent.test(run.request.connection())) {
            return;
        }
        Exchanges.ignore(run.request.response().end(body));
    }

    private static String header(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    private static String newIncarnation() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }
}
