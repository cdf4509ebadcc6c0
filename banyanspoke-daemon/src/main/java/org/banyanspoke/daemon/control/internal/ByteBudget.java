package org.banyanspoke.daemon.control.internal;

import org.banyanspoke.core.time.MonotonicClock;

/**
 * Limits the bytes of a repeated transfer whose size is known only afterwards. A transfer may start while the balance is
 * positive; its size may make the balance negative, and the next one waits until that is paid off. Over any time T at most
 * {@code T x rate + burst + one transfer} bytes are spent. Not thread safe.
 */
public final class ByteBudget {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final long bytesPerSecond;
    private final long burstMilliBytes;
    private final MonotonicClock clock;
    private long balanceMilliBytes;
    private long updatedMillis;

    /**
     * @param bytesPerSecond long-term limit
     * @param burstBytes balance at the start, and the most that idle time saves up
     * @param clock fills the balance
     */
    public ByteBudget(long bytesPerSecond, long burstBytes, MonotonicClock clock) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstMilliBytes = burstBytes * MILLIS_PER_SECOND;
        this.clock = clock;
        this.balanceMilliBytes = burstMilliBytes;
        this.updatedMillis = clock.millis();
    }

    /** Returns whether a transfer may start now. */
    public boolean isPositive() {
        long nowMillis = clock.millis();
        long earnedMilliBytes = (nowMillis - updatedMillis) * bytesPerSecond;
        balanceMilliBytes = Math.min(burstMilliBytes, balanceMilliBytes + earnedMilliBytes);
        updatedMillis = nowMillis;
        return balanceMilliBytes > 0;
    }

    /** Counts bytes that were transferred. */
    public void spend(long bytes) {
        balanceMilliBytes -= bytes * MILLIS_PER_SECOND;
    }
}
