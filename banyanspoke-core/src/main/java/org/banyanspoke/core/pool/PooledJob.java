package org.banyanspoke.core.pool;

/**
 * A job of one step whose caller waits for the end.
 *
 * @param id the caller's id
 * @param terms what the configuration says of its queue
 * @param payload passed to every task
 * @param tasks number of tasks, at least 1
 * @param shape what each task needs
 * @param ageMillis time since an entry host read the request
 * @param patienceMillis how long the caller waits, from the reading of the request
 */
public record PooledJob(
        CallerJobId id,
        QueueTerms terms,
        String payload,
        int tasks,
        TaskShape shape,
        long ageMillis,
        long patienceMillis) {
    /** The longest of a few tasks against the estimate of one. */
    private static final double LONGEST_TASK = 1.2;
    /** A caller takes an end as late, and not as useless, up to this many times the target. */
    private static final double USEFUL_TARGETS = 3;
    /** Estimates may be too high by this factor before a job counts as lost. */
    private static final int ESTIMATE_ALLOWANCE = 2;

    /** Returns the time after its arrival within which a job is in time. */
    public long targetMillis() {
        return (long) (terms.stretch() * shape.estimateMillis() * LONGEST_TASK) + terms.targetLatencyMillis();
    }

    /** Returns the time after its arrival within which the end of a job is of use. */
    public long usefulMillis() {
        return Math.min(patienceMillis, (long) (USEFUL_TARGETS * targetMillis()));
    }

    /** Returns the shortest time that a task can take, with some allowance for estimates that are too high. */
    public long shortestMillis() {
        return shape.estimateMillis() / ESTIMATE_ALLOWANCE;
    }

    /** Returns whether a job that has to wait from now on would still end while that is of use. */
    public boolean usefulAfter(double waitMillis) {
        return ageMillis + waitMillis + shortestMillis() <= usefulMillis();
    }

    /** Returns the same job some time later. */
    public PooledJob aged(long millis) {
        return new PooledJob(id, terms, payload, tasks, shape, ageMillis + millis, patienceMillis);
    }
}
