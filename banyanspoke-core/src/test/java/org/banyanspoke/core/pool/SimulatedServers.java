package org.banyanspoke.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Backend servers with leases, fencing tokens and lists of ends, in simulated time. Checks on every start that the server has
 * room and that no other run of the task is there; a broken rule is kept in {@link #violations}.
 */
final class SimulatedServers implements ServerOrders, MonotonicClock {
    static final long WAY_MILLIS = 1;
    private static final String SERVICE = "service";

    /** What a start does. */
    enum StartFault {
        NONE,
        /** The task fails after its run time. */
        FAILS,
        /** The task never gets on. */
        HANGS,
        /** The order is carried out and the answer is lost. */
        ANSWER_LOST,
        /** The order is carried out seconds later and the answer is lost. */
        LATE
    }

    final List<String> violations = new ArrayList<>();
    final Map<ServerId, Server> servers = new LinkedHashMap<>();
    ToLongFunction<RunKey> runMillis = run -> 100;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long nowMillis = 1_000_000;
    private long eventNumbers;
    private long starts;

    private record Event(long atMillis, long number, Runnable action) {}

    /** One running task. */
    private static final class Task {
        private final int cpuMillicores;
        private final long startedMillis;

        private Task(int cpuMillicores, long startedMillis) {
            this.cpuMillicores = cpuMillicores;
            this.startedMillis = startedMillis;
        }
    }

    /** One server. */
    final class Server {
        ServerEntry entry;
        double slowness = 1;
        StartFault fault = StartFault.NONE;
        boolean reachable = true;
        long token;
        final Map<RunKey, Task> running = new HashMap<>();
        private final List<Ended> ended = new ArrayList<>();
        private final Map<TaskKey, Integer> highestEnded = new HashMap<>();
        private long ends;
        private long leaseEndMillis;
        private long bornMillis = 1;
        private Runnable waiting;

        Server(ServerEntry entry) {
            this.entry = entry;
        }

        int used() {
            return running.values().stream()
                    .mapToInt(task -> task.cpuMillicores)
                    .sum();
        }

        private void end(RunKey run, EndKind kind) {
            if (running.remove(run) == null) {
                return;
            }
            ended.add(new Ended(++ends, run, kind));
            highestEnded.merge(run.task(), run.number(), Math::max);
            wake();
        }

        private void wake() {
            Runnable waiter = waiting;
            waiting = null;
            if (waiter != null) {
                waiter.run();
            }
        }

        private void extend(long deadlineMillis) {
            leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadlineMillis, nowMillis + 1_000));
            long checkMillis = leaseEndMillis;
            at(checkMillis + 1, () -> {
                if (nowMillis > leaseEndMillis) {
                    List.copyOf(running.keySet()).forEach(run -> end(run, EndKind.LAPSED));
                }
            });
        }

        /** Forgets everything, as a process that starts again under the same id. */
        void restart() {
            running.clear();
            ended.clear();
            highestEnded.clear();
            ends = 0;
            token = 0;
            leaseEndMillis = 0;
            bornMillis = nowMillis;
        }

        private int percent(RunKey run, Task task) {
            double whole = runMillis.applyAsLong(run) * slowness;
            return fault == StartFault.HANGS ? 0 : (int) Math.min(99, 100 * (nowMillis - task.startedMillis) / whole);
        }

        private List<Running> runningRows() {
            List<Running> rows = new ArrayList<>();
            running.forEach((run, task) -> rows.add(new Running(run, percent(run, task))));
            return rows;
        }
    }

    @Override
    public long nanos() {
        return nowMillis * 1_000_000;
    }

    long starts() {
        return starts;
    }

    Server add(String id, String kind, int cpuMillicores) {
        ServerEntry entry = new ServerEntry(
                new ServerId(id),
                SERVICE,
                "10.0.0.1:1",
                new ZoneId("a"),
                List.of(kind),
                cpuMillicores,
                32_000,
                0,
                false,
                1);
        Server server = new Server(entry);
        servers.put(entry.id(), server);
        return server;
    }

    List<ServerEntry> entries() {
        return servers.values().stream().map(server -> server.entry).toList();
    }

    void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventNumbers++, action));
    }

    void after(long millis, Runnable action) {
        at(nowMillis + millis, action);
    }

    /** Lets time pass, with a tick of the pool every 20 ms. */
    void run(ServerPool pool, long millis) {
        long end = nowMillis + millis;
        for (long tick = nowMillis + 20; tick <= end; tick += 20) {
            at(tick, pool::tick);
        }
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = end;
    }

    @Override
    public void start(ServerEntry entry, Start order, Consumer<Reply> onReply) {
        Server server = servers.get(entry.id());
        if (!server.reachable) {
            after(order.timeoutMillis(), () -> onReply.accept(new Reply(Status.UNKNOWN, 0)));
            return;
        }
        boolean lost = server.fault == StartFault.LATE || server.fault == StartFault.ANSWER_LOST;
        after(server.fault == StartFault.LATE ? 3_000 : WAY_MILLIS, () -> {
            Reply reply = startHere(server, order);
            if (!lost) {
                after(WAY_MILLIS, () -> onReply.accept(reply));
            }
        });
        if (lost) {
            after(order.timeoutMillis(), () -> onReply.accept(new Reply(Status.UNKNOWN, 0)));
        }
    }

    private Reply startHere(Server server, Start order) {
        if (order.fencingToken() < server.token) {
            return new Reply(Status.FENCED, nowMillis);
        }
        server.token = order.fencingToken();
        if (server.highestEnded.getOrDefault(order.run().task(), 0)
                >= order.run().number()) {
            return new Reply(Status.STALE_RUN, nowMillis);
        }
        if (order.deadlineMillis() <= nowMillis) {
            return new Reply(Status.TOO_LATE, nowMillis);
        }
        starts++;
        checkSingle(order.run());
        Task task = new Task(SimulatedJobs.CPU_MILLICORES, nowMillis);
        server.running.put(order.run(), task);
        if (server.used() > server.entry.cpuMillicores()) {
            violations.add("over capacity: " + server.entry.id());
        }
        server.extend(order.deadlineMillis());
        if (server.fault != StartFault.HANGS) {
            EndKind kind = server.fault == StartFault.FAILS ? EndKind.FAILED : EndKind.DONE;
            long millis = kind == EndKind.FAILED ? 5 : (long) (runMillis.applyAsLong(order.run()) * server.slowness);
            after(millis, () -> {
                if (server.running.get(order.run()) == task) {
                    server.end(order.run(), kind);
                }
            });
        }
        return new Reply(Status.OK, nowMillis);
    }

    private void checkSingle(RunKey run) {
        for (Server each : servers.values()) {
            for (RunKey other : each.running.keySet()) {
                if (other.task().equals(run.task())) {
                    violations.add("two runs of " + run.task() + ", the other since "
                            + (nowMillis - each.running.get(other).startedMillis) + " ms");
                }
            }
        }
    }

    @Override
    public void stop(ServerEntry entry, Stop order, Consumer<Reply> onReply) {
        Server server = servers.get(entry.id());
        if (!server.reachable) {
            after(order.timeoutMillis(), () -> onReply.accept(new Reply(Status.UNKNOWN, 0)));
            return;
        }
        after(WAY_MILLIS, () -> {
            if (order.fencingToken() < server.token) {
                after(WAY_MILLIS, () -> onReply.accept(new Reply(Status.FENCED, nowMillis)));
                return;
            }
            server.token = order.fencingToken();
            server.highestEnded.merge(order.run().task(), order.run().number(), Math::max);
            after(30, () -> server.end(order.run(), EndKind.STOPPED));
            after(WAY_MILLIS, () -> onReply.accept(new Reply(Status.OK, nowMillis)));
        });
    }

    @Override
    public void renew(ServerEntry entry, Renew order, Consumer<RenewReply> onReply) {
        Server server = servers.get(entry.id());
        if (!server.reachable) {
            after(order.timeoutMillis(), () -> onReply.accept(failure(Status.UNKNOWN)));
            return;
        }
        after(WAY_MILLIS, () -> renewHere(server, order, reply -> after(WAY_MILLIS, () -> onReply.accept(reply))));
    }

    private void renewHere(Server server, Renew order, Consumer<RenewReply> onReply) {
        if (order.fencingToken() < server.token) {
            onReply.accept(failure(Status.FENCED));
            return;
        }
        server.token = order.fencingToken();
        server.ended.removeIf(end -> end.number() <= order.acknowledged());
        if (order.deadlineMillis() > 0) {
            server.extend(order.deadlineMillis());
        }
        Runnable answer = () -> onReply.accept(new RenewReply(
                Status.OK, nowMillis, server.bornMillis, server.runningRows(), List.copyOf(server.ended)));
        if (order.waitMillis() == 0 || !server.ended.isEmpty()) {
            answer.run();
            return;
        }
        server.waiting = answer;
        after(order.waitMillis(), () -> {
            if (server.waiting == answer) {
                server.wake();
            }
        });
    }

    private static RenewReply failure(Status status) {
        return new RenewReply(status, 0, 0, List.of(), List.of());
    }
}
