package org.banyanspoke.bench.internal;

import org.banyanspoke.api.errors.ErrorKind;

/**
 * How a job ended for its caller.
 *
 * @param job the job
 * @param state how it ended
 * @param error the reported kind if it failed or was refused, else null
 * @param responseNanos time from the planned arrival to the end
 * @param partial whether a response claimed to be complete and was not, or had results of other tasks
 */
public record JobOutcome(PlannedJob job, State state, ErrorKind error, long responseNanos, boolean partial) {
    /** How a job ended. */
    public enum State {
        /** With a complete response. */
        COMPLETE,
        /** With an explicit error after it may have run. */
        FAILED,
        /** With an explicit refusal; nothing was run. */
        REFUSED,
        /** Without any response. */
        LOST
    }

    /** Returns whether the job completed within its promise. */
    public boolean metContract() {
        return state == State.COMPLETE && responseNanos <= job.load().promiseMillis() * 1_000_000;
    }
}
