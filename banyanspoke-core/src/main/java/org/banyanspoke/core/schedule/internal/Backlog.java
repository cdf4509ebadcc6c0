package org.banyanspoke.core.schedule.internal;

/**
 * How long tasks of a class or team have waited without a break.
 *
 * <p>Work that goes first has no long backlog, a flood has one until it ends. The number of arrivals would not show a
 * flood, because admission lets in about as much as is served.
 */
final class Backlog {
    /** Longer than the burst of one large job takes, short against promises of several seconds. */
    private static final long PILE_UP_NANOS = 1_000_000_000;

    private long emptyAtNanos;

    Backlog(long nowNanos) {
        emptyAtNanos = nowNanos;
    }

    /** Notes that no task waits, or that the first one is about to. */
    void onEmpty(long nowNanos) {
        emptyAtNanos = nowNanos;
    }

    /** Returns whether tasks have waited without a break for so long that others go first. */
    boolean pilesUp(int waiting, long nowNanos) {
        return waiting > 0 && nowNanos - emptyAtNanos > PILE_UP_NANOS;
    }
}
