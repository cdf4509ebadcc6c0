package org.banyanspoke.core.routing.internal;

/**
 * Measured run time relative to the declared one, as a running mean of logarithms: declared times that are wrong by a
 * factor in either direction cancel out, and one straggler moves it little.
 */
final class RunTimeRatio {
    /** About the last 50 results count; declared times off by up to 10 times then leave an error of about 20%. */
    private static final double MIN_GAIN = 0.02;

    private static final double MAX_ABS_LOG = Math.log(100);

    private double meanLog;
    private int count;

    double value() {
        return Math.exp(meanLog);
    }

    double valueOr(double unknown) {
        return count == 0 ? unknown : value();
    }

    void add(long elapsedNanos, long declaredMillis) {
        double declaredNanos = Math.max(1, declaredMillis) * 1e6;
        double log = Math.log(Math.max(1, elapsedNanos) / declaredNanos);
        log = Math.max(-MAX_ABS_LOG, Math.min(MAX_ABS_LOG, log));
        count++;
        meanLog += Math.max(MIN_GAIN, 1.0 / count) * (log - meanLog);
    }
}
