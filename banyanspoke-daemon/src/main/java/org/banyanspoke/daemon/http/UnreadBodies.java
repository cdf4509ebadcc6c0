package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.daemon.jobs.LocalJobs;

/**
 * Answers submissions under a reserved id whose body was not read, for want of room or time. The id may have been used
 * before, so "not run" is stated only if the owner knows that it was not.
 */
final class UnreadBodies {
    private UnreadBodies() {}

    /** Answers for a job of this process. */
    static <T> Future<T> refuseOwn(LocalJobs jobs, TeamId team, JobId jobId, DispatchException reason) {
        return jobs.status(team, jobId, 0)
                .transform(
                        known -> Future.failedFuture(known.succeeded() ? later(jobId, reason) : error(known, reason)));
    }

    /** Returns the answer for a job that may have been started. */
    static DispatchException later(JobId jobId, DispatchException reason) {
        return new DispatchException(
                ErrorKind.OWNER_UNREACHABLE,
                "the body for job \"" + jobId + "\" was not read, ask for the state of the job: " + reason.getMessage(),
                reason);
    }

    private static Throwable error(io.vertx.core.AsyncResult<?> known, DispatchException reason) {
        boolean unused = known.cause() instanceof DispatchException e && e.kind() == ErrorKind.UNKNOWN_JOB;
        return unused ? reason : known.cause();
    }
}
