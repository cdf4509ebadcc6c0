package org.banyanspoke.api.job;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State of a job as reported to callers. */
public enum JobState {
    /** Accepted; some tasks are waiting or running. */
    @JsonProperty("running")
    RUNNING,
    /** All tasks completed; the response has all results. */
    @JsonProperty("complete")
    COMPLETE,
    /** The job failed; the response has no results. */
    @JsonProperty("failed")
    FAILED
}
