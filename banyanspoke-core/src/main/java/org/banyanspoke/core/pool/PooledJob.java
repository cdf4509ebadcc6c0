package org.banyanspoke.core.pool;

/**
 * Single-step job whose caller waits for its completion.
 *
 * @param id job id assigned by the caller
 * @param queuePolicy policy of its queue
 * @param payload data passed to every task
 * @param tasks number of tasks, at least 1
 * @param requirements resources that each task requires
 * @param ageMillis time since an entry host received the request
 * @param callerTimeoutMillis how long the caller waits, counted from the receipt of the request
 */
public record PooledJob(
        CallerJobId id,
        QueuePolicy queuePolicy,
        String payload,
        int tasks,
        TaskRequirements requirements,
        long ageMillis,
        long callerTimeoutMillis) {
    /** Expected run time of the longest of a few tasks, relative to the estimate for one. */
    private static final double LONGEST_TASK_FACTOR = 1.2;
    /** The result of a job counts as late rather than useless up to this multiple of its target time. */
    private static final double EXPIRY_FACTOR = 3;
    /** Estimates may be too high by up to this factor; a job is given up only if it would expire even then. */
    private static final int MAX_OVERESTIMATE_FACTOR = 2;

    /** Returns the target time for completion, counted from the arrival of the job. */
    public long targetMillis() {
        return (long) (queuePolicy.stretch() * requirements.estimateMillis() * LONGEST_TASK_FACTOR)
                + queuePolicy.targetLatencyMillis();
    }

    /** Returns the time after the arrival of the job at which its result is no longer useful. */
    public long expiryMillis() {
        return Math.min(callerTimeoutMillis, (long) (EXPIRY_FACTOR * targetMillis()));
    }

    /** Returns the minimum run time of a task, with an allowance for estimates that are too high. */
    public long minRunMillis() {
        return requirements.estimateMillis() / MAX_OVERESTIMATE_FACTOR;
    }

    /** Returns whether the job can still finish before its expiry if it first waits for the given time. */
    public boolean isUsefulAfter(double waitMillis) {
        return ageMillis + waitMillis + minRunMillis() <= expiryMillis();
    }

    /** Returns a copy of this job with its age increased. */
    public PooledJob agedBy(long millis) {
        return new PooledJob(id, queuePolicy, payload, tasks, requirements, ageMillis + millis, callerTimeoutMillis);
    }
}
