package org.banyanspoke.core.pool.internal;

import org.banyanspoke.core.pool.PooledJob;

/** When a job is in time, and until when its end is of use. */
final class JobTimes {
    /** The longest of a few tasks against the estimate of one. */
    private static final double LONGEST_TASK = 1.2;
    /** A caller takes an end as late, and not as useless, up to this many times the target. */
    private static final double USEFUL_TARGETS = 3;

    private JobTimes() {}

    /** Returns the time after its arrival within which a job is in time. */
    static long targetMillis(PooledJob job) {
        return (long) (job.terms().stretch() * job.shape().estimateMillis() * LONGEST_TASK)
                + job.terms().targetLatencyMillis();
    }

    /** Returns the time after its arrival within which the end of a job is of use. */
    static long usefulMillis(PooledJob job) {
        return Math.min(job.patienceMillis(), (long) (USEFUL_TARGETS * targetMillis(job)));
    }
}
