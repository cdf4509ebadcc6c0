import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A minion that keeps PROTOCOL.md: fencing, leases, run numbers, ends that stay listed until they are acknowledged. The
 * spec of a task is its run time in milliseconds. It does not guard its capacity ({@code rejects_overload} false).
 */
final class Minion {
    private static final long TICK_MILLIS = 2;
    private static final long HEARTBEAT_MILLIS = 1_500;
    private static final int ENDS_A_REPLY = 500;

    private final String id;
    private final String zone;
    private final String service;
    private final int cpu;
    private final long maxHoldMillis;
    private final long stopMillis;
    private final Record record;
    private final Store store;
    private final int port;
    private final Map<String, Task> running = new LinkedHashMap<>();
    private final Map<String, Long> endedRuns = new HashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();
    private HttpListener http;
    private List<String> labels;
    private boolean up;
    private long bootNanos;
    private long bornMillis;
    private long token;
    private long leaseEndMillis;
    private long endCount;
    private long seq;
    private boolean listed;

    private static final class Task {
        Record.Run run;
        long startMillis;
        long workMillis;
        long stopAtMillis = Long.MAX_VALUE;
    }

    /**
     * @param labels kind and rack of its first boot
     * @param stopMillis how long a stop takes; at most stop_grace_ms
     */
    Minion(
            String id,
            String zone,
            String service,
            int cpu,
            List<String> labels,
            long maxHoldMillis,
            long stopMillis,
            Record record,
            Store store)
            throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.cpu = cpu;
        this.maxHoldMillis = maxHoldMillis;
        this.stopMillis = stopMillis;
        this.record = record;
        this.store = store;
        reset(labels);
        listen(0);
        port = http.port();
        register();
        Thread ticker = new Thread(this::runTicker);
        ticker.setDaemon(true);
        ticker.start();
    }

    String id() {
        return id;
    }

    synchronized List<String> labels() {
        return labels;
    }

    synchronized long bornMillis() {
        return bornMillis;
    }

    private void reset(List<String> newLabels) {
        labels = newLabels;
        bootNanos = System.nanoTime();
        bornMillis = Math.max(bornMillis + 1, System.currentTimeMillis());
        token = 0;
        leaseEndMillis = 0;
        endCount = 0;
        seq = 0;
        listed = false;
    }

    private void listen(int onPort) throws IOException {
        up = true;
        http = new HttpListener(onPort, this::handle);
    }

    /** The process ends: all that runs is gone, all channels are reset, nothing is said to anybody. */
    synchronized void crash() {
        record.write("%s crashes", id);
        up = false;
        http.close();
        running.values().forEach(task -> record.ended(task.run, "gone with the minion"));
        running.clear();
        endedRuns.clear();
        ends.clear();
        notifyAll();
    }

    /**
     * Starts again under the same id and address. The store has acknowledged its new entry before it answers its first
     * call.
     */
    void restart(List<String> newLabels) throws IOException {
        synchronized (this) {
            reset(newLabels);
        }
        register();
        record.write("%s starts again, labels %s, born %d; its entry is in the store", id, newLabels, bornMillis());
        synchronized (this) {
            listen(port);
        }
    }

    void close() {
        http.close();
    }

    private synchronized Map<String, Object> entry() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + port);
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.put("capacity", Map.of("cpu", cpu, "mem_mb", 32_768, "gpu", 0));
        entry.put("labels", labels);
        entry.put("clock_ms", clockMillis());
        entry.put("born", bornMillis);
        entry.put("seq", ++seq);
        return entry;
    }

    private void register() {
        store.put("keyed.servers", id, entry());
    }

    private long clockMillis() {
        return 1 + (System.nanoTime() - bootNanos) / 1_000_000;
    }

    private void runTicker() {
        long nextHeartbeatNanos = System.nanoTime() + HEARTBEAT_MILLIS * 1_000_000;
        while (true) {
            try {
                Thread.sleep(TICK_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            boolean registers;
            synchronized (this) {
                if (!up) {
                    nextHeartbeatNanos = System.nanoTime() + HEARTBEAT_MILLIS * 1_000_000;
                    continue;
                }
                endDueTasks();
                registers = System.nanoTime() >= nextHeartbeatNanos;
            }
            if (registers) {
                nextHeartbeatNanos += HEARTBEAT_MILLIS * 1_000_000;
                register();
            }
        }
    }

    private void endDueTasks() {
        long now = clockMillis();
        for (Task task : List.copyOf(running.values())) {
            if (now >= task.startMillis + task.workMillis) {
                end(task, "done");
            } else if (now >= task.stopAtMillis) {
                end(task, "stopped");
            } else if (now >= leaseEndMillis) {
                end(task, "lapsed");
            }
        }
    }

    private void end(Task task, String how) {
        running.remove(task.run.task);
        endedRuns.merge(task.run.task, task.run.number, Math::max);
        ends.add(List.of(++endCount, task.run.task, task.run.number, how, ""));
        record.ended(task.run, how);
        notifyAll();
    }

    private HttpListener.Answer handle(HttpListener.Request request) throws Exception {
        if (request.path().equals("/health")) {
            return HttpListener.Answer.json(200, Map.of());
        }
        Map<String, Object> order = Json.object(request.body());
        synchronized (this) {
            if (!up) {
                return null;
            }
            endDueTasks();
            String expected = request.headers().get("x-banyanspoke-expect-instance");
            if (expected != null && !expected.equals(id)) {
                return answer(421, null);
            }
            long given = Json.number(order, "fencing_token", 0);
            if (given < token) {
                return answer(409, "fence");
            }
            token = given;
            return switch (request.path()) {
                case "/run-start" -> onStart(order);
                case "/run-stop" -> onStop(order);
                case "/hold" -> onHold(order);
                default -> answer(404, null);
            };
        }
    }

    private HttpListener.Answer onStart(Map<String, Object> order) {
        long deadline = Json.number(order, "deadline_ms", 0);
        if (deadline <= clockMillis()) {
            return answer(409, "late");
        }
        extendLease(deadline);
        String name = (String) order.get("task");
        long number = Json.number(order, "run", 0);
        Task present = running.get(name);
        if (present != null && present.run.number == number) {
            return answer(200, null);
        }
        if (number <= endedRuns.getOrDefault(name, 0L) || present != null) {
            return answer(409, "old");
        }
        Task task = new Task();
        task.workMillis = Long.parseLong((String) order.get("spec"));
        task.startMillis = clockMillis();
        task.run = record.started(name, number, id, labels);
        running.put(name, task);
        return answer(200, null);
    }

    private HttpListener.Answer onStop(Map<String, Object> order) {
        String name = (String) order.get("task");
        long number = Json.number(order, "run", 0);
        Task present = running.get(name);
        if (present != null && present.run.number <= number) {
            present.stopAtMillis = Math.min(present.stopAtMillis, clockMillis() + stopMillis);
        } else {
            endedRuns.merge(name, number, Math::max);
        }
        return answer(200, null);
    }

    private HttpListener.Answer onHold(Map<String, Object> order) throws InterruptedException {
        long boot = bornMillis;
        extendLease(Json.number(order, "deadline_ms", 0));
        long acknowledged = Json.number(order, "ack_cursor", 0);
        ends.removeIf(row -> (Long) row.get(0) <= acknowledged);
        long until = clockMillis() + Math.min(2_000, Json.number(order, "wait_ms", 0));
        while (up && boot == bornMillis && ends.isEmpty() && clockMillis() < until) {
            wait(until - clockMillis());
        }
        if (!up || boot != bornMillis) {
            return null;
        }
        if (!listed) {
            listed = true;
            record.write("%s answers the first hold of this boot, born %d", id, bornMillis);
        }
        List<Object> rows = new ArrayList<>();
        for (Task task : running.values()) {
            long percent = Math.min(99, 100 * (clockMillis() - task.startMillis) / Math.max(1, task.workMillis));
            rows.add(List.of(task.run.task, task.run.number, "", percent, 0));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clock_ms", clockMillis());
        body.put("born", bornMillis);
        body.put("running", rows);
        body.put("finished", List.copyOf(ends.subList(0, Math.min(ENDS_A_REPLY, ends.size()))));
        return HttpListener.Answer.json(200, body);
    }

    private void extendLease(long deadlineMillis) {
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadlineMillis, clockMillis() + maxHoldMillis));
    }

    private HttpListener.Answer answer(int status, String reason) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clock_ms", clockMillis());
        body.put("born", bornMillis);
        if (reason != null) {
            body.put("reason", reason);
        }
        return HttpListener.Answer.json(status, body);
    }
}
