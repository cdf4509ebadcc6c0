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

    /** Successes after which a server is trusted again; one that fails half of its tasks rarely has as many. */
    private static final int SUCCESSES_TO_TRUST = 5;

    private int consecutiveFailures;
    private int successesUntilTrusted;
    private long pauseMillis = INITIAL_PAUSE_MILLIS;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private boolean halfOpen;
    private boolean succeeded;

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

    /** Returns whether a task has completed there since the server was claimed. */
    boolean hasSucceeded() {
        return succeeded;
    }

    /** Returns whether too few tasks have completed there since it failed a task. */
    boolean hasUnresolvedFailure() {
        return halfOpen || consecutiveFailures > 0 || successesUntilTrusted > 0;
    }

    /** Records that a task which this server failed has completed elsewhere, so that the task is not at fault. */
    void recordBlame() {
        successesUntilTrusted = SUCCESSES_TO_TRUST;
    }

    /** Records that the server has been claimed; it may have restarted. */
    void recordClaim() {
        succeeded = false;
    }

    void recordSuccess() {
        succeeded = true;
        successesUntilTrusted = Math.max(0, successesUntilTrusted - 1);
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
