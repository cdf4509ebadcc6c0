package org.banyanspoke.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Submits jobs of three classes to a pool and records their outcomes. */
final class SimulatedJobs {
    static final int CPU_MILLICORES = 7_000;
    static final QueuePolicy URGENT = new QueuePolicy("urgent", "service", 0, 3, 1.6, 60);
    static final QueuePolicy NORMAL = new QueuePolicy("normal", "service", 1, 3, 1.6, 60);
    static final QueuePolicy LONG = new QueuePolicy("long", "service", 2, 3, 1.6, 60);

    /** Outcome of a job and the time from its submission to its end. */
    record EndedJob(PooledJob job, JobOutcome outcome, long elapsedMillis) {}

    final Map<CallerJobId, EndedJob> endedJobs = new HashMap<>();
    private final SimulatedServers simulation;
    private final ServerPool pool;
    private final List<CallerJobId> ids = new ArrayList<>();
    private final Map<CallerJobId, PooledJob> sent = new HashMap<>();

    SimulatedJobs(SimulatedServers simulation, ServerPool pool) {
        this.simulation = simulation;
        this.pool = pool;
    }

    CallerJobId submit(QueuePolicy policy, int tasks, long estimateMillis) {
        CallerJobId id = new CallerJobId(String.format("%016x", ids.size() + 1));
        submit(id, policy, tasks, estimateMillis);
        return id;
    }

    CallerJobId submit(QueuePolicy policy, int tasks, long estimateMillis, long callerTimeoutMillis) {
        CallerJobId id = new CallerJobId(String.format("%016x", ids.size() + 1));
        submit(id, policy, tasks, estimateMillis, callerTimeoutMillis);
        return id;
    }

    /** Submits a job whose tasks are slower outside a rack. */
    CallerJobId submitWithRack(QueuePolicy policy, int tasks, long estimateMillis, String rack) {
        CallerJobId id = new CallerJobId(String.format("%016x", ids.size() + 1));
        TaskRequirements requirements = new TaskRequirements(CPU_MILLICORES, 64, 0, estimateMillis, "", rack, 0);
        submit(new PooledJob(id, policy, "work", tasks, requirements, 0, 1_500));
        return id;
    }

    void submit(CallerJobId id, QueuePolicy policy, int tasks, long estimateMillis) {
        submit(id, policy, tasks, estimateMillis, 1_500);
    }

    private void submit(CallerJobId id, QueuePolicy policy, int tasks, long estimateMillis, long callerTimeoutMillis) {
        submit(new PooledJob(id, policy, "work", tasks, requirements(estimateMillis), 0, callerTimeoutMillis));
    }

    void submit(PooledJob job) {
        ids.add(job.id());
        sent.put(job.id(), job);
        long submittedAtMillis = simulation.millis();
        pool.submit(job, recordEnd(job, submittedAtMillis));
    }

    CallerJobId submitSized(QueuePolicy policy, int tasks, int cpuMillicores, long estimateMillis) {
        CallerJobId id = new CallerJobId(String.format("%016x", ids.size() + 1));
        ids.add(id);
        TaskRequirements requirements = new TaskRequirements(cpuMillicores, 64, 0, estimateMillis, "", "", 0);
        PooledJob job = new PooledJob(id, policy, "work", tasks, requirements, 0, 1_500);
        sent.put(id, job);
        pool.submit(job, recordEnd(job, simulation.millis()));
        return id;
    }

    /** Returns the processor share of a job's tasks, in thousandths of a core. */
    int cpuMillicores(CallerJobId id) {
        return sent.get(id).requirements().cpuMillicores();
    }

    private Consumer<JobOutcome> recordEnd(PooledJob job, long submittedAtMillis) {
        return outcome -> {
            if (endedJobs.put(job.id(), new EndedJob(job, outcome, simulation.millis() - submittedAtMillis)) != null) {
                throw new AssertionError(job.id() + " ended twice");
            }
        };
    }

    /** Returns the estimated run time of a job's tasks, in milliseconds. */
    long estimate(CallerJobId id) {
        return sent.get(id).requirements().estimateMillis();
    }

    /** Returns the rack of a job's data; empty for none. */
    String rack(CallerJobId id) {
        return sent.get(id).requirements().rack();
    }

    /** Returns the number of submitted jobs of a class. */
    long sent(QueuePolicy policy) {
        return sent.values().stream()
                .filter(job -> job.queuePolicy().equals(policy))
                .count();
    }

    static TaskRequirements requirements(long estimateMillis) {
        return new TaskRequirements(CPU_MILLICORES, 64, 0, estimateMillis, "", "", 0);
    }

    JobOutcome.Kind kind(CallerJobId id) {
        return endedJobs.containsKey(id) ? endedJobs.get(id).outcome().kind() : null;
    }

    long count(QueuePolicy policy, JobOutcome.Kind kind) {
        return endedJobs.values().stream()
                .filter(ended -> ended.job().queuePolicy().equals(policy))
                .filter(ended -> ended.outcome().kind() == kind)
                .count();
    }

    /** Returns the number of jobs of a class that completed within a time limit. */
    long completedWithin(QueuePolicy policy, long millis) {
        return endedJobs.values().stream()
                .filter(ended -> ended.job().queuePolicy().equals(policy))
                .filter(ended -> ended.outcome().kind() == JobOutcome.Kind.COMPLETED)
                .filter(ended -> ended.elapsedMillis() <= millis)
                .count();
    }
}
