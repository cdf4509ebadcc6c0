package org.banyanspoke.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleBiFunction;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Simulates backend servers with leases, fencing tokens and lists of ended runs, in virtual time. Checks on each start
 * that the server has enough free capacity and that no other run of the task exists; each failed check is added to
 * {@link #violations}.
 */
final class SimulatedServers implements ServerCommands, MonotonicClock {
    static final long ONE_WAY_LATENCY_MILLIS = 1;
    private static final String SERVICE = "service";
    private static final long NEVER = -1;

    /** Fault that a start command triggers. */
    enum StartFault {
        NONE,
        /** The task fails 5 ms after its start. */
        FAILS,
        /** The task makes progress up to {@link Server#hangsAtPercent} and never ends. */
        HANGS,
        /** The command is executed, but its reply is lost. */
        ANSWER_LOST,
        /** The command is executed 3 s late, and its reply is lost. */
        LATE
    }

    final List<String> violations = new ArrayList<>();
    final Map<ServerId, Server> servers = new LinkedHashMap<>();
    ToLongFunction<RunKey> runMillis = run -> 100;
    ToIntFunction<RunKey> cpuMillicores = run -> SimulatedJobs.CPU_MILLICORES;
    /** Factor on the run time that depends on the server, in addition to its slowdown. */
    ToDoubleBiFunction<RunKey, ServerDescriptor> placementFactor = (run, server) -> 1;
    /** Whether servers also execute start commands that name an earlier start time. */
    boolean restartsUnnoticed;
    /** Whether the next start command fails with an unchecked exception. */
    boolean failNextStart;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Runnable> unreadReplies = new ArrayList<>();
    private long nowMillis = 1_000_000;
    private long suspendedSinceMillis = NEVER;
    private long eventNumbers;
    private long starts;
    private long startCommands;
    private long renewCommands;

    private record Event(long atMillis, long number, Runnable action) {}

    private static final class Task {
        private final int cpuMillicores;
        private final long startedMillis;

        private Task(int cpuMillicores, long startedMillis) {
            this.cpuMillicores = cpuMillicores;
            this.startedMillis = startedMillis;
        }
    }

    final class Server {
        ServerDescriptor descriptor;
        double slowdown = 1;
        StartFault fault = StartFault.NONE;
        /** Runs that fail 5 ms after their start. */
        Predicate<RunKey> failingRuns = run -> false;
        /** Progress of a task that hangs. */
        int hangsAtPercent;

        boolean reachable = true;
        /** Whether the replies to renewals are lost. */
        boolean renewalRepliesLost;

        /** Number of start commands that were sent to the server, executed or not. */
        int receivedStarts;
        /** Speed of the server's clock. */
        double clockRate = 1;

        long token;
        final Map<RunKey, Task> running = new HashMap<>();
        private final List<RunEnd> ended = new ArrayList<>();
        private final Map<TaskKey, Integer> highestEnded = new HashMap<>();
        private long ends;
        /** End of the lease on the server's clock. */
        private long leaseEndMillis;

        private long startTimeMillis = 1;
        /** Time at which the server's clock was 0. */
        private long clockOriginMillis;

        private Runnable waitingRenewal;

        Server(ServerDescriptor descriptor) {
            this.descriptor = descriptor;
        }

        private long clockMillis() {
            return (long) ((nowMillis - clockOriginMillis) * clockRate);
        }

        int usedCpuMillicores() {
            return running.values().stream()
                    .mapToInt(task -> task.cpuMillicores)
                    .sum();
        }

        private void end(RunKey run, EndKind kind) {
            if (running.remove(run) == null) {
                return;
            }
            ended.add(new RunEnd(++ends, run, kind));
            highestEnded.merge(run.task(), run.number(), Math::max);
            completeWaitingRenewal();
        }

        private void completeWaitingRenewal() {
            Runnable renewal = waitingRenewal;
            waitingRenewal = null;
            if (renewal != null) {
                renewal.run();
            }
        }

        private void extend(long deadlineMillis) {
            leaseEndMillis = Math.max(leaseEndMillis, Math.min(deadlineMillis, clockMillis() + 1_000));
            double remainingMillis = (leaseEndMillis - clockMillis()) / clockRate;
            after((long) Math.ceil(remainingMillis) + 1, () -> {
                if (clockMillis() > leaseEndMillis) {
                    List.copyOf(running.keySet()).forEach(run -> end(run, EndKind.LAPSED));
                }
            });
        }

        /** Drops all state, like a process that restarts under the same id, and publishes its new start time. */
        void restart() {
            restart(descriptor.hardwareKind(), nowMillis);
        }

        /** Restarts as a server of another hardware kind. */
        void restart(String kind) {
            restart(kind, nowMillis);
        }

        /**
         * Restarts as a server of a hardware kind.
         *
         * @param publishedStartMillis start time in the new descriptor
         */
        void restart(String kind, long publishedStartMillis) {
            descriptor = new ServerDescriptor(
                    descriptor.id(),
                    descriptor.service(),
                    descriptor.address(),
                    descriptor.zone(),
                    List.of(kind),
                    descriptor.cpuMillicores(),
                    descriptor.memoryMegabytes(),
                    descriptor.gpus(),
                    descriptor.draining(),
                    publishedStartMillis);
            running.clear();
            ended.clear();
            highestEnded.clear();
            ends = 0;
            token = 0;
            leaseEndMillis = 0;
            startTimeMillis = nowMillis;
            clockOriginMillis = nowMillis;
        }

        private double totalMillis(RunKey run) {
            return runMillis.applyAsLong(run) * slowdown * placementFactor.applyAsDouble(run, descriptor);
        }

        private int percent(RunKey run, Task task) {
            double totalMillis = totalMillis(run);
            int maxPercent = fault == StartFault.HANGS ? hangsAtPercent : 99;
            return (int) Math.min(maxPercent, 100 * (nowMillis - task.startedMillis) / totalMillis);
        }

        private List<RunProgress> runningTasks() {
            List<RunProgress> progress = new ArrayList<>();
            running.forEach((run, task) -> progress.add(new RunProgress(run, percent(run, task))));
            return progress;
        }
    }

    @Override
    public long nanos() {
        return nowMillis * 1_000_000;
    }

    /** Returns the number of runs that servers have started. */
    long starts() {
        return starts;
    }

    /** Returns the number of start commands, including those that servers have refused. */
    long startCommands() {
        return startCommands;
    }

    /** Returns the number of renew commands. */
    long renewCommands() {
        return renewCommands;
    }

    Server add(String id, String kind, int cpuMillicores) {
        return add(id, List.of(kind), cpuMillicores);
    }

    /** Adds a server with labels, of which the first is its hardware kind. */
    Server add(String id, List<String> labels, int cpuMillicores) {
        ServerDescriptor descriptor = new ServerDescriptor(
                new ServerId(id), SERVICE, "10.0.0.1:1", new ZoneId("a"), labels, cpuMillicores, 32_000, 0, false, 1);
        Server server = new Server(descriptor);
        servers.put(descriptor.id(), server);
        return server;
    }

    List<ServerDescriptor> descriptors() {
        return servers.values().stream().map(server -> server.descriptor).toList();
    }

    void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventNumbers++, action));
    }

    void after(long millis, Runnable action) {
        at(nowMillis + millis, action);
    }

    /**
     * Suspends the process that owns the pool: no tick is run and no reply is read. Afterwards the timers fire first, as
     * in an event loop whose wait was interrupted, and then the replies that have arrived are read.
     */
    void suspend(ServerPool pool, long millis) {
        suspendedSinceMillis = nowMillis;
        advance(nowMillis + millis);
        pool.tick();
        suspendedSinceMillis = NEVER;
        List<Runnable> arrived = List.copyOf(unreadReplies);
        unreadReplies.clear();
        arrived.forEach(Runnable::run);
    }

    /** Returns the time up to which the process has read all replies. */
    long inputReadUntilMillis() {
        return suspendedSinceMillis == NEVER ? nowMillis : suspendedSinceMillis;
    }

    private void deliver(Runnable reply) {
        if (suspendedSinceMillis == NEVER) {
            reply.run();
        } else {
            unreadReplies.add(reply);
        }
    }

    /** Advances virtual time, calling the tick of the pool every 20 ms. */
    void run(ServerPool pool, long millis) {
        long end = nowMillis + millis;
        for (long tick = nowMillis + 20; tick <= end; tick += 20) {
            at(tick, pool::tick);
        }
        advance(end);
    }

    private void advance(long end) {
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = end;
    }

    @Override
    public void start(ServerDescriptor descriptor, StartCommand command, Consumer<Reply> onReply) {
        if (failNextStart) {
            failNextStart = false;
            throw new IllegalStateException("simulated error in a start command");
        }
        startCommands++;
        Server server = servers.get(descriptor.id());
        server.receivedStarts++;
        if (!server.reachable) {
            after(command.timeoutMillis(), () -> deliver(() -> onReply.accept(new Reply(Status.UNKNOWN, 0))));
            return;
        }
        boolean replyLost = server.fault == StartFault.LATE || server.fault == StartFault.ANSWER_LOST;
        after(server.fault == StartFault.LATE ? 3_000 : ONE_WAY_LATENCY_MILLIS, () -> {
            Reply reply = handleStart(server, command);
            if (!replyLost) {
                after(ONE_WAY_LATENCY_MILLIS, () -> deliver(() -> onReply.accept(reply)));
            }
        });
        if (replyLost) {
            after(command.timeoutMillis(), () -> deliver(() -> onReply.accept(new Reply(Status.UNKNOWN, 0))));
        }
    }

    private Reply handleStart(Server server, StartCommand command) {
        if (!restartsUnnoticed
                && command.serverStartTimeMillis() != 0
                && command.serverStartTimeMillis() != server.startTimeMillis) {
            return new Reply(Status.RESTARTED, 0);
        }
        if (command.fencingToken() < server.token) {
            return new Reply(Status.FENCED, server.clockMillis());
        }
        server.token = command.fencingToken();
        if (server.highestEnded.getOrDefault(command.run().task(), 0)
                >= command.run().number()) {
            return new Reply(Status.STALE_RUN, server.clockMillis());
        }
        if (command.deadlineMillis() <= server.clockMillis()) {
            return new Reply(Status.TOO_LATE, server.clockMillis());
        }
        starts++;
        checkNoOtherRun(command.run());
        Task task = new Task(cpuMillicores.applyAsInt(command.run()), nowMillis);
        server.running.put(command.run(), task);
        if (server.usedCpuMillicores() > server.descriptor.cpuMillicores()) {
            violations.add("capacity exceeded on server " + server.descriptor.id());
        }
        server.extend(command.deadlineMillis());
        if (server.fault != StartFault.HANGS) {
            EndKind kind = server.fault == StartFault.FAILS || server.failingRuns.test(command.run())
                    ? EndKind.FAILED
                    : EndKind.DONE;
            long millis = kind == EndKind.FAILED ? 5 : (long) server.totalMillis(command.run());
            after(millis, () -> {
                if (server.running.get(command.run()) == task) {
                    server.end(command.run(), kind);
                }
            });
        }
        return new Reply(Status.OK, server.clockMillis());
    }

    private void checkNoOtherRun(RunKey run) {
        for (Server each : servers.values()) {
            for (RunKey other : each.running.keySet()) {
                if (other.task().equals(run.task())) {
                    violations.add("two runs of " + run.task() + ", the other one started "
                            + (nowMillis - each.running.get(other).startedMillis) + " ms ago");
                }
            }
        }
    }

    @Override
    public void stop(ServerDescriptor descriptor, StopCommand command, Consumer<Reply> onReply) {
        Server server = servers.get(descriptor.id());
        if (!server.reachable) {
            after(command.timeoutMillis(), () -> deliver(() -> onReply.accept(new Reply(Status.UNKNOWN, 0))));
            return;
        }
        after(ONE_WAY_LATENCY_MILLIS, () -> {
            if (command.fencingToken() < server.token) {
                after(
                        ONE_WAY_LATENCY_MILLIS,
                        () -> deliver(() -> onReply.accept(new Reply(Status.FENCED, server.clockMillis()))));
                return;
            }
            server.token = command.fencingToken();
            server.highestEnded.merge(command.run().task(), command.run().number(), Math::max);
            after(30, () -> server.end(command.run(), EndKind.STOPPED));
            after(
                    ONE_WAY_LATENCY_MILLIS,
                    () -> deliver(() -> onReply.accept(new Reply(Status.OK, server.clockMillis()))));
        });
    }

    @Override
    public void renew(ServerDescriptor descriptor, RenewCommand command, Consumer<RenewReply> onReply) {
        renewCommands++;
        Server server = servers.get(descriptor.id());
        if (!server.reachable || server.renewalRepliesLost) {
            after(command.timeoutMillis(), () -> deliver(() -> onReply.accept(failure(Status.UNKNOWN))));
            return;
        }
        after(
                ONE_WAY_LATENCY_MILLIS,
                () -> handleRenew(
                        server,
                        command,
                        reply -> after(ONE_WAY_LATENCY_MILLIS, () -> deliver(() -> onReply.accept(reply)))));
    }

    private void handleRenew(Server server, RenewCommand command, Consumer<RenewReply> onReply) {
        if (command.fencingToken() < server.token) {
            onReply.accept(failure(Status.FENCED));
            return;
        }
        server.token = command.fencingToken();
        server.ended.removeIf(end -> end.number() <= command.acknowledged());
        if (command.deadlineMillis() > 0) {
            server.extend(command.deadlineMillis());
        }
        Runnable sendReply = () -> onReply.accept(new RenewReply(
                Status.OK,
                server.clockMillis(),
                server.startTimeMillis,
                server.runningTasks(),
                List.copyOf(server.ended)));
        if (command.waitMillis() == 0 || !server.ended.isEmpty()) {
            sendReply.run();
            return;
        }
        server.waitingRenewal = sendReply;
        after(command.waitMillis(), () -> {
            if (server.waitingRenewal == sendReply) {
                server.completeWaitingRenewal();
            }
        });
    }

    private static RenewReply failure(Status status) {
        return new RenewReply(status, 0, 0, List.of(), List.of());
    }
}
