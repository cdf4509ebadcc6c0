package org.banyanspoke.api.job;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a job as callers see it. */
public enum JobState {
    /** Accepted; tasks wait or run. */
    @JsonProperty("running")
    RUNNING,
    /** Every task completed; the answer is whole. */
    @JsonProperty("complete")
    COMPLETE,
    /** The job failed; the answer has no results. */
    @JsonProperty("failed")
    FAILED
}
