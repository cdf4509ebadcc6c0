package org.banyanspoke.core.routing.internal;

/** Moving average and variance of the logarithms of run times. */
final class RunTimeDistribution {
    /** Averages about the last 50 results. */
    private static final double MIN_SMOOTHING_FACTOR = 0.02;

    /** Fewer results may not include long tasks. */
    private static final int MIN_SAMPLES = 20;

    /** 95% of a normal distribution lie below the mean plus 1.64 standard deviations. */
    private static final double P95_Z_SCORE = 1.64;

    private double meanLog;
    private double varianceLog;
    private int count;

    void add(long nanos) {
        count++;
        double smoothingFactor = Math.max(MIN_SMOOTHING_FACTOR, 1.0 / count);
        double difference = Math.log(Math.max(1, nanos)) - meanLog;
        meanLog += smoothingFactor * difference;
        varianceLog = (1 - smoothingFactor) * (varianceLog + smoothingFactor * difference * difference);
    }

    /** Returns the estimated 95th percentile of the run time; 0 with too few results. */
    double p95Nanos() {
        return count < MIN_SAMPLES ? 0 : Math.exp(meanLog + P95_Z_SCORE * Math.sqrt(varianceLog));
    }
}
