package org.banyanspoke.standins.backend;

/** Outcome of a started task. */
public enum Outcome {
    /** The task completed. */
    DONE,
    /** The task failed. */
    FAILED,
    /** A DELETE request stopped the task. */
    STOPPED,
    /** The lease of the task expired. */
    LEASE_EXPIRED,
    /** The server went down while the task ran. */
    DROPPED
}
