package org.banyanspoke.core.pool;

/**
 * How a job has ended.
 *
 * @param kind what the caller may conclude
 * @param reason why, for logs and answers
 * @param retryAfterMillis when the caller may come back; 0 unless refused
 */
public record JobOutcome(Kind kind, String reason, long retryAfterMillis) {
    /** What the caller may conclude. */
    public enum Kind {
        /** Every task has ended well. */
        COMPLETED,
        /** A task has failed as often as its queue allows. */
        FAILED,
        /** Nothing has run and nothing will. */
        REFUSED,
        /** Something may have run; nothing runs any more, or soon. */
        ABANDONED
    }

    /** Returns the end of a job whose tasks have all ended well. */
    public static JobOutcome completed() {
        return new JobOutcome(Kind.COMPLETED, "", 0);
    }

    /** Returns the end of a job that cannot be done. */
    public static JobOutcome failed(String reason) {
        return new JobOutcome(Kind.FAILED, reason, 0);
    }

    /** Returns the end of a job of which nothing has run. */
    public static JobOutcome refused(String reason, long retryAfterMillis) {
        return new JobOutcome(Kind.REFUSED, reason, retryAfterMillis);
    }

    /** Returns the end of a job that has been given up after a start. */
    public static JobOutcome abandoned(String reason) {
        return new JobOutcome(Kind.ABANDONED, reason, 0);
    }
}
