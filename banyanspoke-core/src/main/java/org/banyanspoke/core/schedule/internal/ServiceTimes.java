package org.banyanspoke.core.schedule.internal;

/** Running mean of service times. */
final class ServiceTimes {
    /** Assumed before the first task has ended: the middle of the usual run times of 50 ms to 1 s, in nanoseconds. */
    static final double INITIAL_MEAN_NANOS = 300_000_000;

    /** About the last 50 tasks count. */
    private static final double SAMPLE_WEIGHT = 0.02;

    private ServiceTimes() {}

    static double updatedMean(double meanNanos, long serviceNanos) {
        return meanNanos + SAMPLE_WEIGHT * (serviceNanos - meanNanos);
    }
}
