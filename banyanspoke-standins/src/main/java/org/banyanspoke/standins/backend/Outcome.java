package org.banyanspoke.standins.backend;

/** How a started task ended. */
public enum Outcome {
    /** It completed. */
    DONE,
    /** It failed. */
    FAILED,
    /** It was stopped by a DELETE request. */
    STOPPED,
    /** Its lease expired. */
    LEASE_EXPIRED,
    /** Its server went down. */
    DROPPED
}
