package org.banyanspoke.daemon.jobs;

import io.vertx.core.Future;
import java.util.List;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/**
 * Operations on the jobs that this process owns. Thread-safe and non-blocking. Futures fail with {@link
 * DispatchException} for errors that have an error kind; results are delivered as by {@link DispatchThread#call}.
 */
public interface LocalJobs {
    /** Issues job ids without starting a job. */
    Future<List<JobId>> reserve(TeamId team, int count);

    /**
     * Submits a job under a reserved id.
     *
     * @param wait true to complete the future when the job ends, false to complete it with the state right after
     *     submission
     */
    Future<JobAnswer> submit(TeamId team, JobId jobId, JobBody body, boolean wait);

    /** Reserves a job id and submits a job under it. */
    Future<JobAnswer> submitNew(TeamId team, JobBody body, boolean wait);

    /** Returns the state of a job. Waits for at most {@code waitMillis} while the job is running. */
    Future<JobAnswer> status(TeamId team, JobId jobId, long waitMillis);

    /** Cancels a job and returns its state. */
    Future<JobAnswer> cancel(TeamId team, JobId jobId);
}
