import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Stand-in for a minion, as PROTOCOL.md describes it: leases on its own steady clock, epoch numbers, run numbers, ends.
 * The spec of a task is its run time in milliseconds.
 */
final class Minion {
    private static final long MAX_HOLD_MILLIS = 1_000;

    private final String id;
    private final Ledger ledger;
    private final Record record;
    private final double clockRate;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<Object> finished = new ArrayList<>();
    private HttpListener listener;
    private String kind;
    private long capacity = 16_000;
    private long born = System.currentTimeMillis();
    private long bootNanos = System.nanoTime();
    private long highestToken;
    private long deadline;
    private long ends;
    private int boot;
    private int orders;
    private int lateOrders;
    /** Seconds after which an order is carried out, without an answer; 0 for at once and with an answer. */
    private ToDoubleFunction<String> delaySeconds = path -> 0;

    /** A task at work; times are on the minion's clock. */
    private record Run(String task, long number, long startMillis, long endMillis) {}

    /**
     * @param clockRate speed of the minion's steady clock; at least 0.98
     * @param kind the minion's kind, which is one of its labels
     */
    Minion(String id, Ledger ledger, Record record, double clockRate, String kind) throws IOException {
        this.kind = kind;
        this.id = id;
        this.ledger = ledger;
        this.record = record;
        this.clockRate = clockRate;
        this.listener = new HttpListener(0, this::answer);
        HttpListener.daemon(this::keepTime);
    }

    String id() {
        return id;
    }

    /** Returns the minion's report about itself. */
    synchronized Map<String, Object> entry(String zone, String state) {
        return Json.of(
                "service", "service", "address", "127.0.0.1:" + listener.port(), "zone", zone, "version", "v1",
                "slots", 8, "state", state, "cold_remaining_ms", 0,
                "capacity", Json.of("cpu", capacity, "mem_mb", 32_768, "gpu", 0),
                "labels", List.of(kind, "rack-" + id), "born", born, "clock_ms", clock(), "seq", 1);
    }

    /** Sets which orders are left without an answer and carried out late. */
    synchronized void setDelay(ToDoubleFunction<String> delay) {
        delaySeconds = delay;
    }

    synchronized int orders() {
        return orders;
    }

    synchronized int lateOrders() {
        return lateOrders;
    }

    /** Ends the minion's process. */
    void crash() throws IOException {
        listener.close();
        synchronized (this) {
            boot++;
            running.values().forEach(run -> ledger.ended(id, run.task(), run.number(), "crashed"));
            running.clear();
            record.line(id, "crashed");
        }
    }

    /** Starts the minion again under its id and at its address, as a minion of a kind and a capacity. */
    void startAgain(String newKind, long newCapacity) throws IOException {
        synchronized (this) {
            kind = newKind;
            capacity = newCapacity;
            highestEnded.clear();
            finished.clear();
            ends = 0;
            highestToken = 0;
            deadline = 0;
            born = System.currentTimeMillis();
            bootNanos = System.nanoTime();
            record.line(id, "started again, kind " + kind);
        }
        listener = new HttpListener(listener.port(), this::answer);
    }

    private long clock() {
        return (long) ((System.nanoTime() - bootNanos) / 1e6 * clockRate);
    }

    private synchronized void keepTime() {
        try {
            while (true) {
                endDue();
                wait(5);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endDue() {
        long now = clock();
        for (Run run : List.copyOf(running.values())) {
            if (run.endMillis() <= now) {
                end(run, "done");
            } else if (deadline <= now) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task());
        highestEnded.merge(run.task(), run.number(), Math::max);
        finished.add(List.of(++ends, run.task(), run.number(), how, ""));
        ledger.ended(id, run.task(), run.number(), how);
        notifyAll();
    }

    private synchronized HttpListener.Response answer(HttpListener.Request request) throws InterruptedException {
        Map<String, Object> order = Json.object(request.text());
        boolean hold = request.path().equals("/hold");
        if (!id.equals(request.headers().get("x-banyanspoke-expect-instance"))) {
            return HttpListener.Response.json(421, Json.of());
        }
        double delay = delaySeconds.applyAsDouble(request.path());
        orders++;
        if (delay > 0) {
            lateOrders++;
            String when = ", to be carried out in " + delay + " s";
            record.line(id, "no answer to " + request.path() + " " + request.text() + when);
            int receivedBoot = boot;
            HttpListener.daemon(() -> carryOutLate(delay, receivedBoot, request.path(), order));
            return null;
        }
        HttpListener.Response response = carryOut(request.path(), order);
        if (!hold) {
            record.line(id, request.path() + " " + request.text() + " -> " + response.status() + " "
                    + new String(response.body()));
        }
        return response;
    }

    private void carryOutLate(double delay, int receivedBoot, String path, Map<String, Object> order) {
        try {
            Thread.sleep((long) (1_000 * delay));
            synchronized (this) {
                if (receivedBoot == boot) {
                    HttpListener.Response response = carryOut(path, order);
                    record.line(id, "carried out late: " + path + " " + Json.write(order) + " -> " + response.status()
                            + " " + new String(response.body()));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpListener.Response carryOut(String path, Map<String, Object> order) throws InterruptedException {
        endDue();
        long token = Json.integer(order, "fencing_token", 0);
        if (token < highestToken) {
            return refused("fence");
        }
        highestToken = token;
        return switch (path) {
            case "/run-start" -> onStart(order);
            case "/run-stop" -> onStop(order);
            case "/hold" -> onHold(order);
            default -> HttpListener.Response.json(404, Json.of());
        };
    }

    private HttpListener.Response refused(String reason) {
        return HttpListener.Response.json(409, Json.of("clock_ms", clock(), "reason", reason));
    }

    private HttpListener.Response done() {
        return HttpListener.Response.json(200, Json.of("clock_ms", clock()));
    }

    /** A deadline never shortens; a lease that is too long is shortened to the maximum. */
    private void extend(long newDeadline) {
        deadline = Math.max(deadline, Math.min(newDeadline, clock() + MAX_HOLD_MILLIS));
    }

    private HttpListener.Response onStart(Map<String, Object> order) {
        String task = (String) order.get("task");
        long number = Json.integer(order, "run", 0);
        long newDeadline = Json.integer(order, "deadline_ms", 0);
        if (newDeadline <= clock()) {
            return refused("late");
        }
        extend(newDeadline);
        Run present = running.get(task);
        if (present != null && present.number() == number) {
            return done();
        }
        if (present != null || number <= highestEnded.getOrDefault(task, 0L)) {
            return refused("old");
        }
        long now = clock();
        Run run = new Run(task, number, now, now + Long.parseLong((String) order.get("spec")));
        running.put(task, run);
        ledger.started(id, kind, task, number);
        return done();
    }

    private HttpListener.Response onStop(Map<String, Object> order) {
        String task = (String) order.get("task");
        long number = Json.integer(order, "run", 0);
        Run run = running.get(task);
        if (run != null && run.number() <= number) {
            end(run, "stopped");
        }
        highestEnded.merge(task, number, Math::max);
        return done();
    }

    private HttpListener.Response onHold(Map<String, Object> order) throws InterruptedException {
        if (order.containsKey("deadline_ms")) {
            extend(Json.integer(order, "deadline_ms", 0));
        }
        long acknowledged = Json.integer(order, "ack_cursor", 0);
        finished.removeIf(row -> (Long) ((List<?>) row).get(0) <= acknowledged);
        long untilNanos = System.nanoTime() + 1_000_000 * Math.min(2_000, Json.integer(order, "wait_ms", 0));
        while (finished.isEmpty() && System.nanoTime() < untilNanos) {
            wait(5);
        }
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = 100 * (clock() - run.startMillis()) / Math.max(1, run.endMillis() - run.startMillis());
            rows.add(List.of(run.task(), run.number(), "", Math.min(99, percent)));
        }
        return HttpListener.Response.json(
                200, Json.of("clock_ms", clock(), "born", born, "running", rows, "finished", List.copyOf(finished)));
    }
}
