package org.banyanspoke.core.schedule.internal;

/**
 * Tracks for how long a class or team has had waiting tasks without interruption.
 *
 * <p>Work that is served first has no sustained backlog; an overload has one until it ends. The arrival rate would
 * not reveal an overload, because admission accepts tasks at about the rate at which they are served.
 */
final class BacklogTracker {
    /**
     * Longer than the burst that one large job causes, and short compared with promised completion times of several
     * seconds.
     */
    private static final long SUSTAINED_BACKLOG_NANOS = 1_000_000_000;

    private long lastEmptyNanos;

    BacklogTracker(long nowNanos) {
        lastEmptyNanos = nowNanos;
    }

    /** Records that no task is waiting, or that the first one is about to be added. */
    void onEmpty(long nowNanos) {
        lastEmptyNanos = nowNanos;
    }

    /** Returns whether tasks have waited without interruption for so long that other work takes precedence. */
    boolean isSustained(int waiting, long nowNanos) {
        return waiting > 0 && nowNanos - lastEmptyNanos > SUSTAINED_BACKLOG_NANOS;
    }
}
