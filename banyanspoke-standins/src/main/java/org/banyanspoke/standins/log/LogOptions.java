package org.banyanspoke.standins.log;

/**
 * Limits and injected faults of the log.
 *
 * @param syncMillis duration of a synchronous write, in milliseconds
 * @param appendsPerSecond appends accepted per second; others are answered with 429
 * @param keepRecords maximum number of retained records
 * @param keepMillis retention time of a record, in milliseconds
 * @param outage simulated outage
 * @param loseAnswers number of subsequent appends that are applied but whose connection is closed without a response
 * @param slowMillis additional latency of each append and read, in milliseconds
 */
public record LogOptions(
        long syncMillis,
        int appendsPerSecond,
        int keepRecords,
        long keepMillis,
        Outage outage,
        int loseAnswers,
        long slowMillis) {
    /**
     * No faults. A synchronous write takes 5 ms and 400 appends per second are accepted, for "several milliseconds" and
     * "several hundred" in the specification of the platform. Records are retained for 1 hour.
     */
    public static final LogOptions DEFAULT = new LogOptions(5, 400, 100_000, 3_600_000, Outage.NONE, 0, 0);
}
