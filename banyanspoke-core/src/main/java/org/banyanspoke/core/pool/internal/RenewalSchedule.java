package org.banyanspoke.core.pool.internal;

import org.banyanspoke.api.ids.ServerId;

/** Decides when a server is sent the next renewal. At most one renewal is in progress at a time. */
final class RenewalSchedule {
    /** Retry period for an unresponsive server without runs; longer, as each attempt costs work on both sides. */
    private static final long SILENT_IDLE_RETRY_MILLIS = 1_000;
    /** Retry period for an unresponsive server that may have runs. */
    private static final long SILENT_BUSY_RETRY_MILLIS = 100;
    /**
     * Longest time between two renewals of an idle server, which bounds the age of its clock reading: the first lease is
     * shorter by 2% of that age.
     */
    private static final long MAX_IDLE_PERIOD_MILLIS = 10_000;
    /** Range of the periods of idle servers, so that they do not all get their renewals at the same time. */
    private static final int IDLE_PERIOD_RANGE_MILLIS = 4_000;

    private final long idlePeriodMillis;
    private boolean inProgress;
    private long count;
    private long nextMillis;
    private long lastMillis;

    /** @param server decides on the period of this server while it is idle */
    RenewalSchedule(ServerId server) {
        this.idlePeriodMillis = MAX_IDLE_PERIOD_MILLIS - Math.floorMod(server.hashCode(), IDLE_PERIOD_RANGE_MILLIS);
    }

    /** Returns whether a renewal may be sent now. */
    boolean isDue(long nowMillis) {
        return !inProgress && nowMillis >= nextMillis;
    }

    /** Returns whether an idle server should be sent a renewal now. */
    boolean isDueForIdleServer(long nowMillis) {
        return nowMillis >= lastMillis + idlePeriodMillis;
    }

    /** Makes the next renewal due at a time. */
    void scheduleAt(long millis) {
        nextMillis = millis;
    }

    /** Makes the next renewal due once the period of an idle server has passed. */
    void scheduleForIdleServer() {
        nextMillis = lastMillis + idlePeriodMillis;
    }

    /** Makes the next renewal due after a renewal that failed. */
    void scheduleRetry(long nowMillis, boolean idle) {
        nextMillis = nowMillis + (idle ? SILENT_IDLE_RETRY_MILLIS : SILENT_BUSY_RETRY_MILLIS);
    }

    /** Records that a renewal is being sent, and returns its number. */
    long begin(long nowMillis) {
        inProgress = true;
        lastMillis = nowMillis;
        count++;
        return count;
    }

    /** Records that the renewal in progress has ended. */
    void end() {
        inProgress = false;
    }

    /** Returns the number of the first renewal that is sent from now on. */
    long nextNumber() {
        return count + 1;
    }
}
