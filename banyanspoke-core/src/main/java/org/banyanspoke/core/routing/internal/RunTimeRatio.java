package org.banyanspoke.core.routing.internal;

/**
 * Ratio of measured to declared run time, as a moving average of logarithms. Declared times that are too low and too
 * high by the same factor cancel out, and a single straggler has little effect.
 */
final class RunTimeRatio {
    /** Averages about the last 50 results; with declared times off by up to a factor of 10, the error is about 20%. */
    private static final double MIN_SMOOTHING_FACTOR = 0.02;

    private static final double MAX_ABS_LOG = Math.log(100);

    private double meanLog;
    private int count;

    double value() {
        return Math.exp(meanLog);
    }

    double valueOr(double defaultValue) {
        return count == 0 ? defaultValue : value();
    }

    void add(long elapsedNanos, long declaredMillis) {
        double declaredNanos = Math.max(1, declaredMillis) * 1e6;
        double log = Math.log(Math.max(1, elapsedNanos) / declaredNanos);
        log = Math.max(-MAX_ABS_LOG, Math.min(MAX_ABS_LOG, log));
        count++;
        meanLog += Math.max(MIN_SMOOTHING_FACTOR, 1.0 / count) * (log - meanLog);
    }
}
