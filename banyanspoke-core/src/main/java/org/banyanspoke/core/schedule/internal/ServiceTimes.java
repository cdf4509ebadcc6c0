package org.banyanspoke.core.schedule.internal;

/** Exponentially weighted moving average of service times. */
final class ServiceTimes {
    /**
     * Mean assumed before the first task has ended, in nanoseconds: the middle of the typical run times of 50 ms to 1
     * s.
     */
    static final double INITIAL_MEAN_NANOS = 300_000_000;

    /** Weight of one sample; the average covers roughly the last 50 tasks. */
    private static final double SAMPLE_WEIGHT = 0.02;

    private ServiceTimes() {}

    static double updatedMean(double meanNanos, long serviceNanos) {
        return meanNanos + SAMPLE_WEIGHT * (serviceNanos - meanNanos);
    }
}
