package org.banyanspoke.bench.internal;

import org.banyanspoke.api.errors.ErrorKind;

/**
 * Outcome of a job as seen by its client.
 *
 * @param job planned job
 * @param state final state
 * @param error reported error kind if the job failed or was refused, otherwise null
 * @param responseNanos time from the planned arrival to the outcome
 * @param partial whether a response marked complete had missing results or results of other tasks
 */
public record JobOutcome(PlannedJob job, State state, ErrorKind error, long responseNanos, boolean partial) {
    /** Final state of a job. */
    public enum State {
        /** Response marked complete. */
        COMPLETE,
        /** Explicit error; the job may have run. */
        FAILED,
        /** Explicit refusal; the job was not run. */
        REFUSED,
        /** No response. */
        LOST
    }

    /** Returns whether the job completed within its promise. */
    public boolean metPromise() {
        return state == State.COMPLETE && responseNanos <= job.load().promiseMillis() * 1_000_000;
    }
}
