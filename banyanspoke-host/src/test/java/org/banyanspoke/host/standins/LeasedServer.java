package org.banyanspoke.host.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Stand-in for a backend server that runs tasks while its lease is valid, and rejects requests whose fencing token is
 * below the highest one seen. The payload of a task is its run time in milliseconds.
 */
public final class LeasedServer {
    /** How the server handles requests. */
    public enum Mode {
        /** Handles requests correctly. */
        NORMAL,
        /** Every task fails immediately after its start. */
        FAILS_TASKS,
        /** Start and stop requests are executed and answered only after a delay of 0.3 s to 3 s. */
        EXECUTES_LATE
    }

    private static final long TICK_MILLIS = 5;
    private static final long MIN_DELAY_MILLIS = 300;
    private static final long MAX_DELAY_MILLIS = 3_000;

    private final Vertx vertx;
    private final RunLedger ledger;
    private final int capacityMillicores;
    private final int taskMillicores;
    private final long leaseMillis;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEndedRun = new HashMap<>();
    private final SplittableRandom random;
    private final List<JsonArray> ended = new ArrayList<>();
    private final List<PendingRenewal> pendingRenewals = new ArrayList<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private Consumer<String> startObserver = task -> {};
    private HttpServer server;
    private Mode mode = Mode.NORMAL;
    private long originNanos = System.nanoTime();
    private long startMillis = System.currentTimeMillis();
    private long highestToken;
    private long leaseEndMillis;
    private int endCount;

    /** A running task. */
    private record Run(String task, int number, long startMillis, long endMillis) {
        /** Returns the completed part of the work; a run that is overdue is not complete. */
        long percentDone(long nowMillis) {
            return Math.min(99, 100 * (nowMillis - startMillis) / Math.max(1, endMillis - startMillis));
        }
    }

    /** A lease renewal that waits for the end of a task. */
    private record PendingRenewal(HttpServerRequest request, long untilMillis) {}

    /**
     * @param ledger records every start and end of a task
     * @param capacityMillicores processor capacity
     * @param taskMillicores processor demand of each task
     * @param leaseMillis maximum lease duration
     */
    public LeasedServer(Vertx vertx, RunLedger ledger, int capacityMillicores, int taskMillicores, long leaseMillis) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.capacityMillicores = capacityMillicores;
        this.taskMillicores = taskMillicores;
        this.leaseMillis = leaseMillis;
        this.random = new SplittableRandom(capacityMillicores);
    }

    /** Listens on a free port. */
    public Future<HttpServer> start() {
        server = vertx.createHttpServer().connectionHandler(this::onConnected).requestHandler(this::handle);
        vertx.setPeriodic(TICK_MILLIS, unused -> tick());
        return server.listen(0, "127.0.0.1");
    }

    private synchronized void onConnected(HttpConnection connection) {
        connections.add(connection);
        connection.closeHandler(unused -> onClosed(connection));
    }

    private synchronized void onClosed(HttpConnection connection) {
        connections.remove(connection);
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.actualPort();
    }

    /** Calls an observer with the name of each task that starts from now on. */
    public synchronized void onStart(Consumer<String> observer) {
        startObserver = observer;
    }

    /** Changes the handling of later requests. */
    public synchronized void setMode(Mode mode) {
        this.mode = mode;
    }

    /** Simulates a crash and a restart under the same id: ends all tasks and connections and discards all state. */
    public synchronized void restart() {
        running.values().forEach(run -> ledger.ended(run.task(), "crashed"));
        running.clear();
        highestEndedRun.clear();
        ended.clear();
        pendingRenewals.clear();
        List.copyOf(connections).forEach(HttpConnection::close);
        connections.clear();
        endCount = 0;
        highestToken = 0;
        leaseEndMillis = 0;
        originNanos = System.nanoTime();
        startMillis = Math.max(startMillis + 1, System.currentTimeMillis());
    }

    /** Returns the server's registry entry. */
    public JsonObject entry(String zone) {
        return entry(zone, port());
    }

    /**
     * Returns the server's registry entry with another port.
     *
     * @param advertisedPort port to which hosts connect
     */
    public synchronized JsonObject entry(String zone, int advertisedPort) {
        return new JsonObject()
                .put("service", "service")
                .put("address", "127.0.0.1:" + advertisedPort)
                .put("zone", zone)
                .put("state", "ready")
                .put("labels", new JsonArray(List.of("kind-a", "rack-1")))
                .put("capacity", new JsonObject().put("cpu", capacityMillicores).put("mem_mb", 32_768))
                .put("born", startMillis);
    }

    private long clockMillis() {
        return (System.nanoTime() - originNanos) / 1_000_000;
    }

    private void handle(HttpServerRequest request) {
        request.body().onSuccess(body -> receive(request, body.toJsonObject()));
    }

    private synchronized void receive(HttpServerRequest request, JsonObject command) {
        if (mode != Mode.EXECUTES_LATE || request.path().equals("/hold")) {
            execute(request, command);
            return;
        }
        long startAtReceipt = startMillis;
        vertx.setTimer(random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS), unused -> {
            synchronized (this) {
                if (startAtReceipt == startMillis) {
                    execute(request, command);
                }
            }
        });
    }

    private synchronized void execute(HttpServerRequest request, JsonObject command) {
        tick();
        long token = command.getLong("fencing_token", 0L);
        if (token < highestToken) {
            answer(request, 409, new JsonObject().put("reason", "fence"));
            return;
        }
        highestToken = token;
        extendLease(command.getLong("deadline_ms", 0L));
        switch (request.path()) {
            case "/run-start" -> onStart(request, command);
            case "/run-stop" -> onStop(request, command);
            default -> onRenew(request, command);
        }
    }

    private void extendLease(long deadlineMillis) {
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadlineMillis, clockMillis() + leaseMillis));
    }

    private void onStart(HttpServerRequest request, JsonObject command) {
        String task = command.getString("task");
        if (command.getLong("deadline_ms") <= clockMillis()) {
            answer(request, 409, new JsonObject().put("reason", "late"));
            return;
        }
        int number = command.getInteger("run");
        Run current = running.get(task);
        if (number <= highestEndedRun.getOrDefault(task, 0) || (current != null && number < current.number())) {
            answer(request, 409, new JsonObject().put("reason", "old"));
            return;
        }
        if (current == null || number > current.number()) {
            long nowMillis = clockMillis();
            begin(new Run(task, number, nowMillis, nowMillis + Long.parseLong(command.getString("spec"))));
        }
        answer(request, 200, new JsonObject());
    }

    private void begin(Run run) {
        running.put(run.task(), run);
        startObserver.accept(run.task());
        ledger.started(run.task(), (running.size() * taskMillicores) > capacityMillicores);
        if (mode == Mode.FAILS_TASKS) {
            end(run, "failed");
        }
    }

    private void onStop(HttpServerRequest request, JsonObject command) {
        Run run = running.get(command.getString("task"));
        if (run != null && run.number() <= command.getInteger("run")) {
            end(run, "stopped");
        }
        highestEndedRun.merge(command.getString("task"), command.getInteger("run"), Math::max);
        answer(request, 200, new JsonObject());
    }

    private void onRenew(HttpServerRequest request, JsonObject command) {
        long acknowledged = command.getLong("ack_cursor", 0L);
        ended.removeIf(row -> row.getLong(0) <= acknowledged);
        PendingRenewal renewal = new PendingRenewal(request, clockMillis() + command.getLong("wait_ms", 0L));
        if (!ended.isEmpty() || renewal.untilMillis() <= clockMillis()) {
            answerRenewal(renewal);
        } else {
            pendingRenewals.add(renewal);
        }
    }

    private void answerRenewal(PendingRenewal renewal) {
        JsonArray rows = new JsonArray();
        long nowMillis = clockMillis();
        running.values()
                .forEach(run ->
                        rows.add(new JsonArray(List.of(run.task(), run.number(), "", run.percentDone(nowMillis)))));
        answer(
                renewal.request(),
                200,
                new JsonObject()
                        .put("born", startMillis)
                        .put("running", rows)
                        .put("finished", new JsonArray(List.copyOf(ended))));
    }

    private synchronized void tick() {
        long nowMillis = clockMillis();
        for (Run run : List.copyOf(running.values())) {
            if (run.endMillis() <= nowMillis) {
                end(run, "done");
            } else if (leaseEndMillis <= nowMillis) {
                end(run, "lapsed");
            }
        }
        List<PendingRenewal> due = pendingRenewals.stream()
                .filter(each -> !ended.isEmpty() || each.untilMillis() <= nowMillis)
                .toList();
        pendingRenewals.removeAll(due);
        due.forEach(this::answerRenewal);
    }

    private void end(Run run, String outcome) {
        running.remove(run.task());
        highestEndedRun.merge(run.task(), run.number(), Math::max);
        endCount++;
        ended.add(new JsonArray(List.of(endCount, run.task(), run.number(), outcome, "")));
        ledger.ended(run.task(), outcome);
    }

    private void answer(HttpServerRequest request, int status, JsonObject body) {
        var unused = request.response()
                .setStatusCode(status)
                .end(body.put("clock_ms", clockMillis()).toBuffer());
    }
}
