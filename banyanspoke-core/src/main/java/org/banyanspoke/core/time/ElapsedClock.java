package org.banyanspoke.core.time;

import java.util.function.LongSupplier;

/**
 * Monotonic clock that also counts the time for which the machine was suspended. The operating system's monotonic clock
 * stands still then, so the wall clock gains on it. A wall clock that is set forward counts as a suspension, too. Not
 * thread safe.
 */
public final class ElapsedClock implements MonotonicClock {
    /** A smaller gain of the wall clock is a correction of its rate. */
    private static final long MIN_SUSPENSION_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MonotonicClock monotonicClock;
    private final LongSupplier wallClockMillis;
    private final long originNanos;
    private long wallOffsetMillis;
    private long suspendedMillis;

    /**
     * @param monotonicClock clock that may stand still while the machine is suspended
     * @param wallClockMillis wall clock; may be set forward and back
     * @param originNanos time that this clock shows now. With a random origin, a time of this clock that returns from
     *     another process is not taken for one of a later process.
     */
    public ElapsedClock(MonotonicClock monotonicClock, LongSupplier wallClockMillis, long originNanos) {
        this.monotonicClock = monotonicClock;
        this.wallClockMillis = wallClockMillis;
        this.originNanos = originNanos - monotonicClock.nanos();
        this.wallOffsetMillis = wallClockMillis.getAsLong() - monotonicClock.millis();
    }

    @Override
    public long nanos() {
        long nowNanos = monotonicClock.nanos();
        long offsetMillis = wallClockMillis.getAsLong() - nowNanos / NANOS_PER_MILLI;
        long gainedMillis = offsetMillis - wallOffsetMillis;
        if (gainedMillis >= MIN_SUSPENSION_MILLIS) {
            suspendedMillis += gainedMillis;
            wallOffsetMillis = offsetMillis;
        } else if (gainedMillis < 0) {
            wallOffsetMillis = offsetMillis;
        }
        return originNanos + nowNanos + suspendedMillis * NANOS_PER_MILLI;
    }
}
