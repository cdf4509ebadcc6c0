package org.banyanspoke.daemon.control.internal;

import org.banyanspoke.core.time.MonotonicClock;

/**
 * Token bucket for a repeated transfer whose size is known only afterwards. A transfer may start while the balance is
 * positive; its size may make the balance negative, and the next one waits until it is positive again. Over any period
 * T at most {@code T x rate + burst + one transfer} bytes are transferred. Not thread-safe.
 */
public final class ByteRateLimiter {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final long bytesPerSecond;
    private final long burstMilliBytes;
    private final MonotonicClock clock;
    private long balanceMilliBytes;
    private long updatedMillis;

    /**
     * @param bytesPerSecond long-term limit
     * @param burstBytes initial balance, and the maximum that accumulates while idle
     * @param clock determines the refill of the balance
     */
    public ByteRateLimiter(long bytesPerSecond, long burstBytes, MonotonicClock clock) {
        this.bytesPerSecond = bytesPerSecond;
        this.burstMilliBytes = burstBytes * MILLIS_PER_SECOND;
        this.clock = clock;
        this.balanceMilliBytes = burstMilliBytes;
        this.updatedMillis = clock.millis();
    }

    /** Returns whether a transfer may start now. */
    public boolean hasBudget() {
        long nowMillis = clock.millis();
        long refillMilliBytes = (nowMillis - updatedMillis) * bytesPerSecond;
        balanceMilliBytes = Math.min(burstMilliBytes, balanceMilliBytes + refillMilliBytes);
        updatedMillis = nowMillis;
        return balanceMilliBytes > 0;
    }

    /** Deducts transferred bytes from the balance. */
    public void recordTransfer(long bytes) {
        balanceMilliBytes -= bytes * MILLIS_PER_SECOND;
    }
}
