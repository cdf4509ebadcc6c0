package org.banyanspoke.core.pool.internal;

/**
 * Circuit breaker that pauses a server after repeated failures and then admits one trial task at a time until one
 * succeeds.
 */
final class ServerCircuitBreaker {
    /** Consecutive failures that pause a server; failures of tasks that have failed before are not counted. */
    private static final int FAILURE_THRESHOLD = 2;

    private static final long INITIAL_PAUSE_MILLIS = 1_000;
    private static final long MAX_PAUSE_MILLIS = 8_000;

    private int consecutiveFailures;
    private long pauseMillis = INITIAL_PAUSE_MILLIS;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private boolean halfOpen;

    /** Returns whether the server may get another task while it has the given number of runs. */
    boolean allows(long nowMillis, int runs) {
        if (nowMillis < pausedUntilMillis) {
            return false;
        }
        return !halfOpen || runs == 0;
    }

    /** Returns whether the server has not failed since its last success often enough to be paused. */
    boolean isClosed() {
        return !halfOpen;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        halfOpen = false;
        pauseMillis = INITIAL_PAUSE_MILLIS;
    }

    /** Records a failure. Returns whether it pauses the server. */
    boolean recordFailure(long nowMillis) {
        consecutiveFailures++;
        if (consecutiveFailures < FAILURE_THRESHOLD && !halfOpen) {
            return false;
        }
        pausedUntilMillis = nowMillis + pauseMillis;
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        consecutiveFailures = 0;
        halfOpen = true;
        return true;
    }
}
