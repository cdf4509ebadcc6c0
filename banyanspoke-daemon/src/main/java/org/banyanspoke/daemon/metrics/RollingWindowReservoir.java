package org.banyanspoke.daemon.metrics;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.IntCountsHistogram;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Reservoir over the last one to two minutes, with one HdrHistogram for the current and one for the previous minute.
 * Values are durations in units of {@value #UNIT_MICROS} microseconds. Thread safe; there is a single writer, so lock
 * contention is rare.
 */
final class RollingWindowReservoir implements Reservoir {
    /** A finer unit would only resolve noise, as a network round trip takes almost 1 ms. */
    static final long UNIT_MICROS = 100;

    static final long WINDOW_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** The longest run time that can be declared, 600 s; longer durations are clamped to it. */
    static final long MAX_UNITS = TimeUnit.SECONDS.toMicros(600) / UNIT_MICROS;

    /** Limits the relative error of quantiles to 1%. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private final MonotonicClock clock;
    private IntCountsHistogram current = create();
    private IntCountsHistogram previous = create();
    private long intervalStartNanos;

    RollingWindowReservoir(MonotonicClock clock) {
        this.clock = clock;
        this.intervalStartNanos = clock.nanos();
    }

    /** Converts a duration to the unit of this reservoir. */
    static long units(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos) / UNIT_MICROS;
    }

    @Override
    public synchronized int size() {
        rotate();
        return (int) Math.min(Integer.MAX_VALUE, current.getTotalCount() + previous.getTotalCount());
    }

    @Override
    public synchronized void update(long units) {
        rotate();
        current.recordValue(Math.max(0, Math.min(units, MAX_UNITS)));
    }

    @Override
    public synchronized Snapshot getSnapshot() {
        rotate();
        IntCountsHistogram merged = create();
        merged.add(previous);
        merged.add(current);
        return new RollingWindowSnapshot(merged);
    }

    /** Returns the estimated memory footprint of both histograms. */
    synchronized int footprintBytes() {
        return current.getEstimatedFootprintInBytes() + previous.getEstimatedFootprintInBytes();
    }

    private void rotate() {
        long ageNanos = clock.nanos() - intervalStartNanos;
        if (ageNanos < WINDOW_NANOS) {
            return;
        }
        IntCountsHistogram recycled = previous;
        recycled.reset();
        previous = current;
        current = recycled;
        if (ageNanos >= 2 * WINDOW_NANOS) {
            previous.reset();
        }
        intervalStartNanos = clock.nanos();
    }

    /** Creates a histogram that grows with its largest value, up to about 9 KB at {@link #MAX_UNITS}. */
    private static IntCountsHistogram create() {
        IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);
        histogram.setAutoResize(true);
        return histogram;
    }
}
