package org.banyanspoke.core.pool;

/**
 * Final outcome of a job.
 *
 * @param kind what the caller can rely on
 * @param reason explanation for logs and responses
 * @param retryAfterMillis time after which the caller may retry; 0 unless refused
 * @param cancelled whether the caller has cancelled the job, so that it must not be sent to another dispatcher
 */
public record JobOutcome(Kind kind, String reason, long retryAfterMillis, boolean cancelled) {
    /** Kind of outcome, which tells the caller whether tasks have run. */
    public enum Kind {
        /** Every task has completed. */
        COMPLETED,
        /** A task has failed as many times as its queue allows. */
        FAILED,
        /** No task has run or will run. */
        REFUSED,
        /** Tasks may have run; all runs have been stopped or are being stopped. */
        ABANDONED
    }

    /** Creates an outcome of a job that was not cancelled. */
    public JobOutcome(Kind kind, String reason, long retryAfterMillis) {
        this(kind, reason, retryAfterMillis, false);
    }

    /** Returns the outcome of a job whose tasks have all completed. */
    public static JobOutcome completed() {
        return new JobOutcome(Kind.COMPLETED, "", 0);
    }

    /** Returns the outcome of a job with a task that exhausted its attempts. */
    public static JobOutcome failed(String reason) {
        return new JobOutcome(Kind.FAILED, reason, 0);
    }

    /** Returns the outcome of a job of which no task has run. */
    public static JobOutcome refused(String reason, long retryAfterMillis) {
        return new JobOutcome(Kind.REFUSED, reason, retryAfterMillis);
    }

    /**
     * Returns the outcome of a job that was cancelled before any of its tasks was started.
     *
     * @param retryAfterMillis time after which a job with the same id is accepted again
     */
    public static JobOutcome cancelled(String reason, long retryAfterMillis) {
        return new JobOutcome(Kind.REFUSED, reason, retryAfterMillis, true);
    }

    /** Returns the outcome of a job that was given up after a task had been started. */
    public static JobOutcome abandoned(String reason) {
        return new JobOutcome(Kind.ABANDONED, reason, 0);
    }
}
