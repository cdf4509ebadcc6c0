package org.banyanspoke.api.errors;

/**
 * The closed list of error kinds. Each kind has one HTTP status and one statement about execution. {@code
 * docs/errors.md} documents every kind.
 */
public enum ErrorKind {
    /** The body is not valid JSON, has an unknown field or a wrong type. */
    MALFORMED_REQUEST(400, Execution.NOT_RUN),
    /** The token is missing or unknown. */
    UNAUTHENTICATED(401, Execution.NOT_RUN),
    /** The token is valid but does not allow this request. */
    FORBIDDEN(403, Execution.NOT_RUN),
    /** No such route. */
    UNKNOWN_ROUTE(404, Execution.NOT_RUN),
    /** The team is not in the accepted configuration. */
    UNKNOWN_TEAM(404, Execution.NOT_RUN),
    /** The batch is not in the accepted configuration or belongs to another team. */
    UNKNOWN_BATCH(404, Execution.NOT_RUN),
    /** The job id was never issued to this team, or was issued and never submitted. */
    UNKNOWN_JOB(404, Execution.NOT_RUN),
    /** The named configuration object, ticket, host or server does not exist. */
    UNKNOWN_OBJECT(404, Execution.NOT_RUN),
    /** The route exists but not with this method. */
    METHOD_NOT_ALLOWED(405, Execution.NOT_RUN),
    /** The body did not arrive in time. */
    REQUEST_TIMEOUT(408, Execution.NOT_RUN),
    /** The body is larger than the limit in the settings. */
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN),
    /** The job breaks a rule: number of tasks, repeated task id, limits of a field. */
    INVALID_JOB(422, Execution.NOT_RUN),
    /** The job id was used before with another body. */
    JOB_ID_CONFLICT(409, Execution.MAY_HAVE_RUN),
    /** The job id is too old to start work and its record is gone. */
    JOB_ID_EXPIRED(410, Execution.MAY_HAVE_RUN),
    /** The job completed but its answer is no longer kept. */
    ANSWER_DISCARDED(410, Execution.RAN),
    /** The process that owned the job is gone. */
    OWNER_LOST(502, Execution.MAY_HAVE_RUN),
    /** The process that owns the job cannot be reached now. */
    OWNER_UNREACHABLE(503, Execution.MAY_HAVE_RUN),
    /** The batch's contract has expired before any task was started. */
    CONTRACT_EXPIRED(409, Execution.NOT_RUN),
    /** The contract expired while the job was running. */
    CONTRACT_EXPIRED_RUNNING(504, Execution.MAY_HAVE_RUN),
    /** The team is over its quota. */
    QUOTA_EXCEEDED(429, Execution.NOT_RUN),
    /** The queue is full, or the deadline cannot be met with the present wait. */
    OVERLOADED(503, Execution.NOT_RUN),
    /** No backend server in service may serve the batch, or none can be reached. */
    NO_ELIGIBLE_SERVER(503, Execution.NOT_RUN),
    /** The entry host is stopping. */
    DRAINING(503, Execution.NOT_RUN),
    /** The entry host has no confirmed configuration. */
    NOT_CONFIGURED(503, Execution.NOT_RUN),
    /** The job did not finish within its promise; some of its tasks may have run. */
    DEADLINE_EXCEEDED(504, Execution.MAY_HAVE_RUN),
    /** The promise of the job ended before any of its tasks was started. */
    NOT_STARTED_IN_TIME(504, Execution.NOT_RUN),
    /** The job was cancelled. */
    CANCELLED(409, Execution.MAY_HAVE_RUN),
    /** A backend server reported that a task failed. */
    TASK_FAILED(502, Execution.MAY_HAVE_RUN),
    /** A task was sent and its outcome is unknown. */
    TASK_OUTCOME_UNKNOWN(502, Execution.MAY_HAVE_RUN),
    /** The ticket breaks a rule. */
    TICKET_INVALID(422, Execution.NOT_RUN),
    /** Another ticket was accepted with this number. */
    TICKET_CONFLICT(409, Execution.NOT_RUN),
    /** The append was sent and its result is not known yet. */
    TICKET_OUTCOME_UNKNOWN(503, Execution.MAY_HAVE_RUN),
    /** The configuration log cannot be reached; the ticket was not appended. */
    LOG_UNAVAILABLE(503, Execution.NOT_RUN),
    /** A fault in banyanspoke. */
    INTERNAL(500, Execution.MAY_HAVE_RUN);

    private final int httpStatus;
    private final Execution execution;

    ErrorKind(int httpStatus, Execution execution) {
        this.httpStatus = httpStatus;
        this.execution = execution;
    }

    /** Returns the HTTP status of an answer with this kind. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns what an answer with this kind says about execution. */
    public Execution execution() {
        return execution;
    }
}
