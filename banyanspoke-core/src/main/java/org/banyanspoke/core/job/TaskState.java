package org.banyanspoke.core.job;

/** State of one task of a job. */
public enum TaskState {
    /** Not sent yet. */
    WAITING,
    /** Sent and not answered. */
    SENT,
    /** Completed. */
    DONE,
    /** Reported as failed by a backend server. */
    FAILED,
    /** Sent, and its outcome will not be known. */
    UNKNOWN,
    /** Not sent, and never will be. */
    NOT_STARTED
}
