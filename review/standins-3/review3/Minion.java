package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of a sound minion. The spec of a task is its run time in milliseconds. */
final class Minion {
    private static final long MAX_HOLD_MILLIS = 1_000;

    /** A run of a task; ended at {@code endedMillis} of the record, or at work if that is negative. */
    static final class Run {
        final String task;
        final long number;
        final long startedMillis;
        final long workMillis;
        long endedMillis = -1;
        String how = "";

        private Run(String task, long number, long startedMillis, long workMillis) {
            this.task = task;
            this.number = number;
            this.startedMillis = startedMillis;
            this.workMillis = workMillis;
        }
    }

    final String id;
    private final String service;
    private final int cpu;
    private final Record record;
    private final HttpServer server;
    private final long bornMillis = System.currentTimeMillis();
    private final long originNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<List<Object>> finished = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    private long highestToken;
    private long deadlineMillis;
    private long ends;

    Minion(String id, String service, int cpu, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.cpu = cpu;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Daemons.FACTORY));
        server.createContext("/", this::handle);
        server.start();
        Daemons.start(this::tickForever);
    }

    void close() {
        server.stop(0);
    }

    /** Returns the report of the minion about itself. */
    Map<String, Object> report(String zone) {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("service", service);
        report.put("address", "127.0.0.1:" + server.getAddress().getPort());
        report.put("zone", zone);
        report.put("version", "v1");
        report.put("slots", 8);
        report.put("state", "ready");
        report.put("cold_remaining_ms", 0);
        report.put("capacity", Map.of("cpu", cpu, "mem_mb", 32_768, "gpu", 0));
        report.put("labels", List.of("a", "r1-1"));
        report.put("clock_ms", clockMillis());
        report.put("born", bornMillis);
        report.put("seq", 1);
        return report;
    }

    /** Returns all runs so far, in the order of their starts. */
    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private long clockMillis() {
        return (System.nanoTime() - originNanos) / 1_000_000;
    }

    private void tickForever() {
        while (true) {
            Daemons.sleep(3);
            tick();
        }
    }

    private synchronized void tick() {
        long nowMillis = record.millis();
        for (Run run : List.copyOf(running.values())) {
            if (nowMillis - run.startedMillis >= run.workMillis) {
                end(run, "done");
            } else if (clockMillis() >= deadlineMillis) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        highestEnded.merge(run.task, run.number, Math::max);
        run.how = how;
        run.endedMillis = record.millis();
        finished.add(List.of(++ends, run.task, run.number, how, ""));
        record.add("minion " + id + ": run " + run.task + " #" + run.number + " ended " + how);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String expected = exchange.getRequestHeaders().getFirst("X-Banyanspoke-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                answer(exchange, 421, new LinkedHashMap<>());
            } else {
                execute(exchange, Json.object(body));
            }
        }
    }

    private void execute(HttpExchange exchange, Map<String, Object> command) throws IOException {
        Map<String, Object> reply = new LinkedHashMap<>();
        int status = 200;
        synchronized (this) {
            tick();
            long token = number(command, "fencing_token");
            if (token < highestToken) {
                reply.put("reason", "fence");
                status = 409;
            } else {
                highestToken = token;
                long asked = number(command, "deadline_ms");
                switch (exchange.getRequestURI().getPath()) {
                    case "/run-start" -> status = start(command, asked, reply);
                    case "/run-stop" -> stop(command);
                    case "/hold" -> {
                        extend(asked);
                        hold(command, reply);
                    }
                    default -> status = 404;
                }
            }
        }
        answer(exchange, status, reply);
    }

    private void extend(long askedMillis) {
        deadlineMillis = Math.max(deadlineMillis, Math.min(askedMillis, clockMillis() + MAX_HOLD_MILLIS));
    }

    private int start(Map<String, Object> command, long askedMillis, Map<String, Object> reply) {
        String task = (String) command.get("task");
        long number = number(command, "run");
        Run present = running.get(task);
        if (askedMillis <= clockMillis()) {
            reply.put("reason", "late");
            return 409;
        }
        extend(askedMillis);
        if (number <= highestEnded.getOrDefault(task, 0L) || (present != null && number < present.number)) {
            reply.put("reason", "old");
            return 409;
        }
        if (present == null || number > present.number) {
            Run run = new Run(task, number, record.millis(), Long.parseLong((String) command.get("spec")));
            running.put(task, run);
            runs.add(run);
            record.add("minion " + id + " (" + service + "): run " + task + " #" + number + " started");
        }
        return 200;
    }

    private void stop(Map<String, Object> command) {
        String task = (String) command.get("task");
        long number = number(command, "run");
        Run present = running.get(task);
        if (present != null && present.number <= number) {
            end(present, "stopped");
        }
        highestEnded.merge(task, number, Math::max);
    }

    private void hold(Map<String, Object> command, Map<String, Object> reply) {
        long acked = number(command, "ack_cursor");
        finished.removeIf(row -> (Long) row.get(0) <= acked);
        long untilNanos = System.nanoTime() + number(command, "wait_ms") * 1_000_000;
        long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
        while (finished.isEmpty() && leftMillis > 0) {
            try {
                wait(leftMillis);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
        }
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(99, 100 * (record.millis() - run.startedMillis) / Math.max(1, run.workMillis));
            rows.add(List.of(run.task, run.number, "", percent, 0));
        }
        reply.put("running", rows);
        reply.put("finished", List.copyOf(finished.subList(0, Math.min(500, finished.size()))));
    }

    private void answer(HttpExchange exchange, int status, Map<String, Object> reply) throws IOException {
        reply.put("clock_ms", clockMillis());
        reply.put("born", bornMillis);
        byte[] bytes = Json.write(reply).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static long number(Map<String, Object> command, String field) {
        Object value = command.get(field);
        return value instanceof Long number ? number : 0;
    }
}
