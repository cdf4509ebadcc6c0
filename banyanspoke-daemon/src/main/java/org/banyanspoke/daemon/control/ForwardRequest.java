package org.banyanspoke.daemon.control;

import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;

/**
 * A caller's request for a job that another process owns. The entry host that received it has checked the token.
 *
 * @param action the requested operation
 * @param team the authenticated team
 * @param jobId the job
 * @param body JSON of the job request as received; empty unless the action is a submission
 * @param waitForEnd for a submission: whether to reply only when the job has ended
 * @param waitMillis for a status: how long to wait for the end of the job, in milliseconds
 */
public record ForwardRequest(
        Action action, TeamId team, JobId jobId, byte[] body, boolean waitForEnd, long waitMillis) {
    /** The requested operation. */
    public enum Action {
        /** Submit the job or attach to it. */
        SUBMIT,
        /** Read its state. */
        STATUS,
        /** Cancel it. */
        CANCEL
    }
}
