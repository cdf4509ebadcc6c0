package org.banyanspoke.bench.experiment;

import java.util.function.DoubleSupplier;

/** Waits for a quiet machine before a run. */
public final class LoadGate {
    private static final long POLL_MILLIS = 1_000;

    private final DoubleSupplier loadAverage;
    private final double limit;
    private final long maxWaitMillis;

    /**
     * @param loadAverage load average of the machine over one minute
     * @param limit load average under which a run starts; infinite for no wait
     * @param maxWaitMillis time after which a run starts all the same, in milliseconds
     */
    public LoadGate(DoubleSupplier loadAverage, double limit, long maxWaitMillis) {
        this.loadAverage = loadAverage;
        this.limit = limit;
        this.maxWaitMillis = maxWaitMillis;
    }

    /** Waits until the load average is under the limit, at most the given time, and returns the load average. */
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
