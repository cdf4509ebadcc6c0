package org.banyanspoke.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Limits of a dispatcher.
 *
 * @param maxIdRecords maximum number of records of used job ids; at the limit no id is issued and no job is accepted
 * @param answerRetentionNanos time for which an answer is retained after its job has ended
 * @param maxAnswerBytes approximate maximum size of all retained answers; the oldest are dropped first
 * @param maxClassWaitNanos maximum expected wait of a class at its guaranteed rate; beyond it, jobs are refused
 * @param maxRetries maximum number of retries per task
 * @param retryDelayNanos minimum delay before a task is retried on the backend server that did not accept it
 */
public record DispatcherSettings(
        int maxIdRecords,
        long answerRetentionNanos,
        long maxAnswerBytes,
        long maxClassWaitNanos,
        int maxRetries,
        long retryDelayNanos) {
    /**
     * Default limits. Section 2.1 of the design defines the limits of records and answers, section 2.4 the class
     * wait. A server is ejected after three failures, so eight retries suffice even if several servers are down. A
     * retry delay of 20 ms is short compared with the run time of a task and long compared with a refused connection
     * (under 1 ms).
     */
    public static final DispatcherSettings DEFAULT = new DispatcherSettings(
            150_000,
            TimeUnit.SECONDS.toNanos(120),
            64L << 20,
            TimeUnit.SECONDS.toNanos(2),
            8,
            TimeUnit.MILLISECONDS.toNanos(20));
}
