package org.banyanspoke.core.routing.internal;

/** Running mean and variance of the logarithms of run times. */
final class RunTimeDistribution {
    /** About the last 50 results count. */
    private static final double MIN_GAIN = 0.02;

    /** Fewer results say too little about long tasks. */
    private static final int LEAST_RESULTS = 20;

    /** 95% of a normal distribution lie below the mean plus 1.64 standard deviations. */
    private static final double DEVIATIONS = 1.64;

    private double meanLog;
    private double varianceLog;
    private int count;

    void add(long nanos) {
        count++;
        double gain = Math.max(MIN_GAIN, 1.0 / count);
        double difference = Math.log(Math.max(1, nanos)) - meanLog;
        meanLog += gain * difference;
        varianceLog = (1 - gain) * (varianceLog + gain * difference * difference);
    }

    /** Returns a run time that about 95% of the tasks stay below; 0 with too few results. */
    double highNanos() {
        return count < LEAST_RESULTS ? 0 : Math.exp(meanLog + DEVIATIONS * Math.sqrt(varianceLog));
    }
}
