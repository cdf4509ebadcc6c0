package org.banyanspoke.bench.experiment;

import java.util.function.DoubleSupplier;

/** Delays runs while the load average of the machine is too high. */
public final class LoadAverageGate {
    private static final long POLL_MILLIS = 1_000;

    private final DoubleSupplier loadAverage;
    private final double limit;
    private final long maxWaitMillis;

    /**
     * @param loadAverage source of the one-minute load average of the machine
     * @param limit load average below which a run may start; infinite to disable waiting
     * @param maxWaitMillis time in milliseconds after which a run starts regardless of the load average
     */
    public LoadAverageGate(DoubleSupplier loadAverage, double limit, long maxWaitMillis) {
        this.loadAverage = loadAverage;
        this.limit = limit;
        this.maxWaitMillis = maxWaitMillis;
    }

    /** Waits until the load average is below the limit, up to the maximum wait, and returns the load average. */
    public double await() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + maxWaitMillis * 1_000_000;
        double load = loadAverage.getAsDouble();
        while (load >= limit && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(Math.min(POLL_MILLIS, Math.max(1, maxWaitMillis)));
            load = loadAverage.getAsDouble();
        }
        return load;
    }
}
