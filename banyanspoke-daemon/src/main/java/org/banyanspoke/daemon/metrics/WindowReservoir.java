package org.banyanspoke.daemon.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.IntCountsHistogram;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Values of the last one to two minutes in two HdrHistograms: the present minute and the one before. Values are durations
 * in units of {@value #UNIT_MICROS} microseconds. Thread safe; one thread writes, so the lock is rarely contended.
 */
final class WindowReservoir implements Reservoir {
    /** A network round trip takes almost 1 ms, so finer units would only show noise. */
    static final long UNIT_MICROS = 100;

    static final long WINDOW_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** The largest declared run time is 600 s; longer durations count as this one. */
    static final long MAX_UNITS = TimeUnit.SECONDS.toMicros(600) / UNIT_MICROS;

    /** Quantiles are exact to 1%. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private final MonotonicClock clock;
    private IntCountsHistogram present = create();
    private IntCountsHistogram previous = create();
    private long presentSinceNanos;

    WindowReservoir(MonotonicClock clock) {
        this.clock = clock;
        this.presentSinceNanos = clock.nanos();
    }

    /** Returns a duration in the unit of this reservoir. */
    static long units(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos) / UNIT_MICROS;
    }

    @Override
    public synchronized int size() {
        rotate();
        return (int) Math.min(Integer.MAX_VALUE, present.getTotalCount() + previous.getTotalCount());
    }

    @Override
    public synchronized void update(long units) {
        rotate();
        present.recordValue(Math.max(0, Math.min(units, MAX_UNITS)));
    }

    @Override
    public synchronized Snapshot getSnapshot() {
        rotate();
        IntCountsHistogram sum = create();
        sum.add(previous);
        sum.add(present);
        return new WindowSnapshot(sum);
    }

    /** Returns the approximate memory of both windows. */
    synchronized int footprintBytes() {
        return present.getEstimatedFootprintInBytes() + previous.getEstimatedFootprintInBytes();
    }

    private void rotate() {
        long ageNanos = clock.nanos() - presentSinceNanos;
        if (ageNanos < WINDOW_NANOS) {
            return;
        }
        IntCountsHistogram emptied = previous;
        emptied.reset();
        previous = present;
        present = emptied;
        if (ageNanos >= 2 * WINDOW_NANOS) {
            previous.reset();
        }
        presentSinceNanos = clock.nanos();
    }

    /** Grows with the largest value seen; {@link #MAX_UNITS} needs about 9 KB. */
    private static IntCountsHistogram create() {
        IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);
        histogram.setAutoResize(true);
        return histogram;
    }
}
