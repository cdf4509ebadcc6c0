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
    /** Sent, and the outcome remains unknown. */
    UNKNOWN,
    /** Not started before the job failed. */
    NOT_STARTED
}
