package org.banyanspoke.api.errors;

/**
 * All kinds of error that the API reports. Each kind has one HTTP status and one execution status. {@code
 * docs/errors.md} documents every kind.
 */
public enum ErrorKind {
    /** The body is not valid JSON, or a field is unknown or has the wrong type. */
    MALFORMED_REQUEST(400, Execution.NOT_RUN),
    /** The token is missing or unknown. */
    UNAUTHENTICATED(401, Execution.NOT_RUN),
    /** The token is valid but does not allow this request. */
    FORBIDDEN(403, Execution.NOT_RUN),
    /** No route has this path. */
    UNKNOWN_ROUTE(404, Execution.NOT_RUN),
    /** The team is not in the accepted configuration. */
    UNKNOWN_TEAM(404, Execution.NOT_RUN),
    /** The batch is not in the accepted configuration or belongs to another team. */
    UNKNOWN_BATCH(404, Execution.NOT_RUN),
    /** The job id was never issued to this team, or was issued and never submitted. */
    UNKNOWN_JOB(404, Execution.NOT_RUN),
    /** The named configuration object, ticket, host or server does not exist. */
    UNKNOWN_OBJECT(404, Execution.NOT_RUN),
    /** The route does not support this HTTP method. */
    METHOD_NOT_ALLOWED(405, Execution.NOT_RUN),
    /** The request body was not received within the time-out. */
    REQUEST_TIMEOUT(408, Execution.NOT_RUN),
    /** The body is larger than the limit in the settings. */
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN),
    /** The job violates a constraint: number of tasks, duplicate task id, range of a field. */
    INVALID_JOB(422, Execution.NOT_RUN),
    /** The job id was already used with a different body. */
    JOB_ID_CONFLICT(409, Execution.MAY_HAVE_RUN),
    /** The job id is too old to start tasks and its record has been deleted. */
    JOB_ID_EXPIRED(410, Execution.MAY_HAVE_RUN),
    /** The job completed but its result is no longer retained. */
    ANSWER_DISCARDED(410, Execution.RAN),
    /** The process that owned the job has terminated. */
    OWNER_LOST(502, Execution.MAY_HAVE_RUN),
    /** The process that owns the job is currently unreachable. */
    OWNER_UNREACHABLE(503, Execution.MAY_HAVE_RUN),
    /** The batch's contract expired before any task was started. */
    CONTRACT_EXPIRED(409, Execution.NOT_RUN),
    /** The contract expired while the job was running. */
    CONTRACT_EXPIRED_RUNNING(504, Execution.MAY_HAVE_RUN),
    /** The team has exceeded its quota. */
    QUOTA_EXCEEDED(429, Execution.NOT_RUN),
    /** The queue is full, or the deadline cannot be met at the current queueing delay. */
    OVERLOADED(503, Execution.NOT_RUN),
    /** No backend server in service is eligible for the batch, or none is reachable. */
    NO_ELIGIBLE_SERVER(503, Execution.NOT_RUN),
    /** The entry host is shutting down. */
    DRAINING(503, Execution.NOT_RUN),
    /** The entry host has no confirmed configuration. */
    NOT_CONFIGURED(503, Execution.NOT_RUN),
    /** The job did not finish within its time limit; some of its tasks may have run. */
    DEADLINE_EXCEEDED(504, Execution.MAY_HAVE_RUN),
    /** The job's time limit passed before any of its tasks was started. */
    NOT_STARTED_IN_TIME(504, Execution.NOT_RUN),
    /** The job was cancelled. */
    CANCELLED(409, Execution.MAY_HAVE_RUN),
    /** A backend server reported that a task failed. */
    TASK_FAILED(502, Execution.MAY_HAVE_RUN),
    /** A task was sent to a backend server and its outcome is unknown. */
    TASK_OUTCOME_UNKNOWN(502, Execution.MAY_HAVE_RUN),
    /** The ticket violates a constraint. */
    TICKET_INVALID(422, Execution.NOT_RUN),
    /** Another ticket was accepted with this number. */
    TICKET_CONFLICT(409, Execution.NOT_RUN),
    /** The ticket was sent to the configuration log and the result is not known yet. */
    TICKET_OUTCOME_UNKNOWN(503, Execution.MAY_HAVE_RUN),
    /** The configuration log is unreachable; the ticket was not appended. */
    LOG_UNAVAILABLE(503, Execution.NOT_RUN),
    /** An internal error of banyanspoke. */
    INTERNAL(500, Execution.MAY_HAVE_RUN);

    private final int httpStatus;
    private final Execution execution;

    ErrorKind(int httpStatus, Execution execution) {
        this.httpStatus = httpStatus;
        this.execution = execution;
    }

    /** Returns the HTTP status of a response with this kind. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the execution status of a response with this kind. */
    public Execution execution() {
        return execution;
    }
}
