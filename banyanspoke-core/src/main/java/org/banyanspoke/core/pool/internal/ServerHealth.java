package org.banyanspoke.core.pool.internal;

/** Keeps tasks away from a server that fails what it starts. One task at a time finds out whether it has recovered. */
final class ServerHealth {
    /** Failures in a row that no task's own fault explains. */
    private static final int FAILURES = 2;

    private static final long FIRST_PAUSE_MILLIS = 1_000;
    private static final long LONGEST_PAUSE_MILLIS = 8_000;

    private int failures;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private boolean trial;

    /** Whether the server may get a task, given how many it has. */
    boolean admits(long nowMillis, int runs) {
        if (nowMillis < pausedUntilMillis) {
            return false;
        }
        return !trial || runs == 0;
    }

    void succeeded() {
        failures = 0;
        trial = false;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    /** Returns whether the server is paused from now on. */
    boolean failed(long nowMillis) {
        failures++;
        if (failures < FAILURES && !trial) {
            return false;
        }
        pausedUntilMillis = nowMillis + pauseMillis;
        pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
        failures = 0;
        trial = true;
        return true;
    }
}
