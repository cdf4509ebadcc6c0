package org.banyanspoke.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.LoadReport;
import org.banyanspoke.core.routing.OverloadScenario.Flow;
import org.banyanspoke.core.routing.OverloadScenario.Policy;
import org.banyanspoke.core.schedule.QueuedTask;
import org.banyanspoke.core.schedule.TaskQueue;

/**
 * Discrete-event simulation of dispatch decisions of several entry hosts that share servers. Deterministic for a seed.
 */
final class LoadExperiment {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;
    private static final int SLOTS = 8;
    private static final long NETWORK_DELAY_NANOS = MILLI / 2;
    private static final ZoneId ZONE = new ZoneId("z1");

    /** Results of one flow, counting jobs that arrive after the warm-up. */
    static final class Totals {
        int offered;
        int completedInTime;
    }

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** Simulated job; {@code endNanos} is 0 until it has completed. */
    static final class Job {
        final List<TaskSpec> tasks = new ArrayList<>();
        final long arrivalNanos;
        long endNanos;
        int pendingTasks;
        Totals totals;

        private Job(long arrivalNanos) {
            this.arrivalNanos = arrivalNanos;
        }
    }

    /**
     * Simulated hosts, servers and task mix.
     *
     * @param hostWeights relative share of the jobs that each host receives
     * @param servers number of servers, with speeds from 1 to 1/4
     * @param longTaskFraction fraction of the tasks that run for 2 to 4 s
     */
    record Topology(List<Integer> hostWeights, int servers, double longTaskFraction) {
        static Topology equalHosts(int hosts, int servers) {
            return new Topology(Collections.nCopies(hosts, 1), servers, 0);
        }
    }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final List<Host> hosts = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<Flow, Totals> totals = new HashMap<>();
    private final List<Integer> weightedHosts = new ArrayList<>();
    private final double longTaskFraction;
    final List<Job> offered = new ArrayList<>();
    private long nowNanos;
    private long sequence;
    final long measureFromNanos;

    LoadExperiment(Policy policy, Topology topology, long measureFromNanos, long seed) {
        int hostCount = topology.hostWeights().size();
        int serverCount = topology.servers();
        this.longTaskFraction = topology.longTaskFraction();
        this.measureFromNanos = measureFromNanos;
        Map<HostId, EntryHostConfig> entryHosts = new HashMap<>();
        Map<ServerId, BackendServerConfig> configs = new HashMap<>();
        for (int i = 0; i < hostCount; i++) {
            HostId id = new HostId("h" + i);
            entryHosts.put(id, new EntryHostConfig(id, ZONE, "127.0.0.1:1"));
            weightedHosts.addAll(Collections.nCopies(topology.hostWeights().get(i), i));
        }
        for (int i = 0; i < serverCount; i++) {
            ServerId id = new ServerId("s" + i);
            servers.add(new Server(Math.pow(4, -(double) i / (serverCount - 1))));
            configs.put(id, new BackendServerConfig(id, ZONE, "r", "", SLOTS, 64, Set.of(), ServerState.IN_SERVICE));
        }
        ConfigState config = new ConfigState(1, Map.of(), Map.of(), configs, entryHosts, policy.shares());
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(policy, config, i, RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1000 + i)));
        }
    }

    void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, sequence++, action));
    }

    void run(long untilNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
    }

    List<Server> servers() {
        return servers;
    }

    Server server(int index) {
        return servers.get(index);
    }

    List<Host> hosts() {
        return hosts;
    }

    Totals totals(Flow flow) {
        return totals.computeIfAbsent(flow, unused -> new Totals());
    }

    /**
     * Schedules Poisson arrivals. Run times are log-uniform from 50 ms to 1 s, and declared run times are wrong by a
     * factor of up to 10.
     */
    void scheduleArrivals(Flow flow, long fromNanos, long toNanos, long seed) {
        UniformRandomProvider arrivals = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double capacity = servers.stream().mapToDouble(s -> s.speed * SLOTS).sum();
        double meanSeconds = (1 - longTaskFraction) * 0.95 / Math.log(20) + longTaskFraction * 3;
        double jobsPerSecond = flow.load() * capacity / (meanSeconds * (flow.maxTasks() + 1) / 2);
        long atNanos = fromNanos;
        while (true) {
            atNanos += (long) (-Math.log(1 - arrivals.nextDouble()) / jobsPerSecond * SECOND);
            if (atNanos >= toNanos) {
                return;
            }
            Job job = new Job(atNanos);
            offered.add(job);
            job.pendingTasks = 1 + arrivals.nextInt(flow.maxTasks());
            for (int i = 0; i < job.pendingTasks; i++) {
                double millis = 50 * Math.pow(20, arrivals.nextDouble());
                if (longTaskFraction > 0 && arrivals.nextDouble() < longTaskFraction) {
                    millis = 2_000 + 2_000 * arrivals.nextDouble();
                }
                double declared = millis * Math.pow(10, 2 * arrivals.nextDouble() - 1);
                job.tasks.add(new TaskSpec(new TaskId("t" + i), "" + millis, Math.max(1, (long) declared), true));
            }
            Host host = hosts.get(weightedHosts.get(arrivals.nextInt(weightedHosts.size())));
            BatchConfig batch = flow.batch();
            schedule(atNanos, () -> host.submit(flow, batch, job));
        }
    }

    /** Simulated entry host: dispatches tasks by its queue and pool, and fails jobs at their deadline. */
    final class Host {
        private final HostId id;
        private final TaskQueue queue;
        final ServerPool pool;
        private final Map<JobId, Job> jobs = new HashMap<>();

        Host(Policy policy, ConfigState config, int number, UniformRandomProvider poolRandom) {
            id = new HostId("h" + number);
            queue = policy.queue().apply(() -> nowNanos);
            queue.configure(config.classShares());
            pool = policy.pool().create(id, () -> nowNanos, poolRandom);
            pool.configure(config);
        }

        void submit(Flow flow, BatchConfig batch, Job job) {
            job.totals = nowNanos >= measureFromNanos ? totals(flow) : new Totals();
            job.totals.offered++;
            long promiseNanos = batch.promiseMillis() * MILLI;
            if (queue.expectedWaitNanos(batch.urgency(), batch.team(), pool.usableSlots(batch)) > promiseNanos) {
                return;
            }
            JobId jobId = new JobId(id, "127.0.0.1:1", new Incarnation(1), 0, sequence++, 0);
            jobs.put(jobId, job);
            for (int i = 0; i < job.pendingTasks; i++) {
                TaskSpec task = job.tasks.get(i);
                queue.add(new QueuedTask(jobId, i, task, batch, 1, nowNanos + promiseNanos, nowNanos));
            }
            schedule(nowNanos + promiseNanos, () -> fail(jobId));
            dispatchQueue();
        }

        private void fail(JobId jobId) {
            if (jobs.remove(jobId) != null) {
                queue.removeJob(jobId);
            }
        }

        void dispatchQueue() {
            while (true) {
                Map<QueuedTask, ServerId> selected = new HashMap<>();
                QueuedTask task = queue.poll((next, claim) -> {
                            Optional<ServerId> server = pool.select(next.batch(), next.task(), claim);
                            server.ifPresent(id -> selected.put(next, id));
                            return server.isPresent();
                        })
                        .orElse(null);
                if (task == null) {
                    return;
                }
                send(task, selected.get(task));
            }
        }

        private void send(QueuedTask task, ServerId server) {
            queue.onSent(task);
            pool.onSent(server, task.task());
            long sentNanos = nowNanos;
            Server target = servers.get(Integer.parseInt(server.value().substring(1)));
            target.starts++;
            double millis = Double.parseDouble(task.task().payload());
            schedule(
                    nowNanos + NETWORK_DELAY_NANOS,
                    () -> target.receive(millis, outcome -> {
                        LoadReport load = new LoadReport(target.running, target.waiting.size(), SLOTS);
                        schedule(
                                nowNanos + NETWORK_DELAY_NANOS,
                                () -> onEnded(task, server, outcome, nowNanos - sentNanos, load));
                    }));
        }

        private void onEnded(QueuedTask task, ServerId server, Outcome outcome, long elapsedNanos, LoadReport load) {
            queue.onEnded(task, elapsedNanos);
            pool.onEnded(server, task.task(), new AttemptResult(outcome, "", elapsedNanos, load, false, "1"));
            Job job = jobs.get(task.job());
            if (job != null && outcome != Outcome.DONE) {
                fail(task.job());
            } else if (job != null && --job.pendingTasks == 0) {
                jobs.remove(task.job());
                job.totals.completedInTime++;
                job.endNanos = nowNanos;
            }
            dispatchQueue();
        }
    }

    /** Simulated backend server: runs 8 tasks concurrently and queues the others in order of arrival. */
    final class Server {
        final double speed;
        boolean failing;
        int starts;
        private int running;
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

        Server(double speed) {
            this.speed = speed;
        }

        private void receive(double millis, Consumer<Outcome> onEnd) {
            Runnable start = () -> {
                running++;
                long runNanos = failing ? MILLI : (long) (millis * MILLI / speed);
                schedule(nowNanos + runNanos, () -> end(onEnd));
            };
            if (running < SLOTS) {
                start.run();
            } else {
                waiting.add(start);
            }
        }

        private void end(Consumer<Outcome> onEnd) {
            running--;
            if (!waiting.isEmpty()) {
                waiting.remove().run();
            }
            onEnd.accept(failing ? Outcome.FAILED : Outcome.DONE);
        }
    }
}
