package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.daemon.jobs.LocalJobs;

/**
 * Answers submissions under a reserved id whose body there was no room for. The id may have been used before, so "not run"
 * is stated only if the owner knows that it was not.
 */
final class UnreadBodies {
    private UnreadBodies() {}

    /** Answers for a job of this process. */
    static <T> Future<T> refuseOwn(LocalJobs jobs, TeamId team, JobId jobId, RefusedException noRoom) {
        return jobs.status(team, jobId, 0)
                .transform(
                        known -> Future.failedFuture(known.succeeded() ? later(jobId, noRoom) : error(known, noRoom)));
    }

    /** Returns the answer for a job that may have been started. */
    static DispatchException later(JobId jobId, RefusedException noRoom) {
        return new DispatchException(
                ErrorKind.OWNER_UNREACHABLE,
                "the body for job \"" + jobId + "\" was not read, ask for the state of the job: " + noRoom.getMessage(),
                noRoom);
    }

    private static Throwable error(io.vertx.core.AsyncResult<?> known, RefusedException noRoom) {
        boolean unused = known.cause() instanceof DispatchException e && e.kind() == ErrorKind.UNKNOWN_JOB;
        return unused ? noRoom : known.cause();
    }
}
