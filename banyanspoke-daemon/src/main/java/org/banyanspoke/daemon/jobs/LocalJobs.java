package org.banyanspoke.daemon.jobs;

import io.vertx.core.Future;
import java.util.List;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/**
 * The jobs that this process owns. Methods may be called from any thread and never block. A future fails with {@link
 * DispatchException} for an error that has a kind; results are delivered as {@link DispatchThread#call} says.
 */
public interface LocalJobs {
    /** Issues job ids. Nothing is started. */
    Future<List<JobId>> reserve(TeamId team, int count);

    /**
     * Submits a job under a reserved id.
     *
     * @param wait whether the future completes at the end of the job, or at once with its present state
     */
    Future<JobAnswer> submit(TeamId team, JobId jobId, JobBody body, boolean wait);

    /** Reserves an id and submits the job under it in one step. */
    Future<JobAnswer> submitNew(TeamId team, JobBody body, boolean wait);

    /** Returns the state of a job, at the latest after {@code waitMillis} if it is running. */
    Future<JobAnswer> status(TeamId team, JobId jobId, long waitMillis);

    /** Cancels a job and returns its state. */
    Future<JobAnswer> cancel(TeamId team, JobId jobId);
}
