package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.daemon.jobs.LocalJobs;

/**
 * Chooses the error for a submission with a reserved job id whose body was not read, because the memory budget was
 * exhausted or the body timed out. An earlier submission may have used the id, so the error says "not run" only if the
 * owner has no such job.
 */
final class UnreadBodyErrors {
    private UnreadBodyErrors() {}

    /** Fails with the error for a job that this process owns, after a look-up of the job. */
    static <T> Future<T> failLocal(LocalJobs jobs, TeamId team, JobId jobId, DispatchException reason) {
        return jobs.status(team, jobId, 0)
                .transform(status ->
                        Future.failedFuture(status.succeeded() ? mayHaveRun(jobId, reason) : error(status, reason)));
    }

    /** Returns the error for a job that may have been started. */
    static DispatchException mayHaveRun(JobId jobId, DispatchException reason) {
        return new DispatchException(
                ErrorKind.OWNER_UNREACHABLE,
                "the request body for job \"" + jobId + "\" was not read; query the status of the job: "
                        + reason.getMessage(),
                reason);
    }

    private static Throwable error(io.vertx.core.AsyncResult<?> status, DispatchException reason) {
        boolean unused = status.cause() instanceof DispatchException e && e.kind() == ErrorKind.UNKNOWN_JOB;
        return unused ? reason : status.cause();
    }
}
