package org.banyanspoke.api.errors;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Execution status in an error response: whether any task of the request was started. */
public enum Execution {
    /** No task was started and none will be. */
    @JsonProperty("not_run")
    NOT_RUN,
    /** Some tasks may have been started; none will be started later. */
    @JsonProperty("may_have_run")
    MAY_HAVE_RUN,
    /** All tasks were started and completed. */
    @JsonProperty("ran")
    RAN
}
