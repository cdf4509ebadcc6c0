package org.banyanspoke.standins.log;

/**
 * Limits and faults of the log.
 *
 * @param syncMillis time of one synced write in milliseconds
 * @param appendsPerSecond appends accepted a second; the others get 429
 * @param keepRecords records kept
 * @param keepMillis time a record is kept in milliseconds
 * @param outage outage in force
 * @param loseAnswers number of next appends that take effect but whose connection closes without an answer
 * @param slowMillis extra time of every request in milliseconds
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
     * Without faults: 5 ms for a synced write ("several milliseconds") and 400 appends a second ("several hundred"),
     * records kept for 1 hour.
     */
    public static final LogOptions DEFAULT = new LogOptions(5, 400, 100_000, 3_600_000, Outage.NONE, 0, 0);
}
