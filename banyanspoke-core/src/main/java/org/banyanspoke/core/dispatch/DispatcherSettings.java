package org.banyanspoke.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Limits of a dispatcher.
 *
 * @param maxIdRecords records of used job ids; at the limit no id is issued and no job accepted
 * @param answerRetentionNanos time for which an answer is kept after the end of its job
 * @param maxAnswerBytes approximate size of all kept answers; the oldest are dropped first
 * @param maxClassWaitNanos work that may wait for a class at its guaranteed rate before jobs are refused
 * @param maxRetries how often one task is moved to another backend server
 * @param retryDelayNanos delay before a moved task may return to the backend server that did not take it
 */
public record DispatcherSettings(
        int maxIdRecords,
        long answerRetentionNanos,
        long maxAnswerBytes,
        long maxClassWaitNanos,
        int maxRetries,
        long retryDelayNanos) {
    /**
     * Section 2.1 of the design gives the limits of records and answers, section 2.4 the wait of a class. Eight moves
     * outlast the three failures after which each of several dead servers is set aside; 20 ms is short against a task
     * and long against a refused connection (under 1 ms).
     */
    public static final DispatcherSettings DEFAULT = new DispatcherSettings(
            150_000,
            TimeUnit.SECONDS.toNanos(120),
            64L << 20,
            TimeUnit.SECONDS.toNanos(2),
            8,
            TimeUnit.MILLISECONDS.toNanos(20));
}
