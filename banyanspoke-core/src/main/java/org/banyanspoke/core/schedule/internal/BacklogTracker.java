package org.banyanspoke.core.schedule.internal;

/**
 * How long tasks of a class or team have waited without a break.
 *
 * <p>Work that goes first has no long backlog, a flood has one until it ends. The number of arrivals would not show a
 * flood, because admission lets in about as much as is served.
 */
final class BacklogTracker {
    /** Longer than the burst of one large job takes, short against promises of several seconds. */
    private static final long SUSTAINED_NANOS = 1_000_000_000;

    private long lastEmptyNanos;

    BacklogTracker(long nowNanos) {
        lastEmptyNanos = nowNanos;
    }

    /** Notes that no task waits, or that the first one is about to. */
    void onEmpty(long nowNanos) {
        lastEmptyNanos = nowNanos;
    }

    /** Returns whether tasks have waited without a break for so long that others go first. */
    boolean isSustained(int waiting, long nowNanos) {
        return waiting > 0 && nowNanos - lastEmptyNanos > SUSTAINED_NANOS;
    }
}
