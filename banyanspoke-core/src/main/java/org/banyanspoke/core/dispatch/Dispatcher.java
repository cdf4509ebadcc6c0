package org.banyanspoke.core.dispatch;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.core.config.ConfigState;

/**
 * Accepts the jobs of one entry host process, queues their tasks and sends them to backend servers. Not thread-safe:
 * all methods and callbacks run on the dispatch thread.
 */
public interface Dispatcher {
    /**
     * Applies a configuration to all later task starts. A configuration with a lower number than the current one is
     * ignored.
     */
    void configure(ConfigState config);

    /** Replaces the set of backend servers that are leaving according to the host list, peers or tickets. */
    void setLeaving(Set<ServerId> leaving);

    /** Sets this host's share of the quota of each team; see {@link org.banyanspoke.core.quota.QuotaShares}. */
    void setQuotaShares(org.banyanspoke.core.quota.QuotaShares shares);

    /**
     * Issues job ids without starting any work.
     *
     * @throws RefusedException if the team is unknown, the host is draining or the limit of job id records is reached
     */
    List<JobId> reserve(TeamId team, int count) throws RefusedException;

    /**
     * Submits a job, or attaches to it if the same body was submitted before under this id.
     *
     * @param onEnd receives the final answer; called immediately if the job has already ended
     * @throws DispatchException if the submission is refused or conflicts with an earlier one, or its id has expired
     */
    void submit(Submission submission, Consumer<JobAnswer> onEnd) throws DispatchException;

    /**
     * Returns the current state of a job.
     *
     * @throws DispatchException if this process does not know the job or no longer retains its answer
     */
    JobAnswer status(TeamId team, JobId jobId) throws DispatchException;

    /**
     * Cancels a job. Tasks not yet sent are never started; servers are asked to stop running ones. Has no effect on a
     * job that has ended.
     *
     * @return the state after the call
     * @throws DispatchException under the same conditions as {@link #status}
     */
    JobAnswer cancel(TeamId team, JobId jobId) throws DispatchException;

    /** Refuses new jobs from now on and calls {@code onIdle} once the last running job has ended. */
    void drain(Runnable onIdle);

    /**
     * Returns the records of all used job ids whose generation is open, with the retained answers, for the successor.
     */
    org.banyanspoke.core.identity.JobArchive archive();

    /** Handles expired deadlines, contracts and answers, and sends waiting tasks. Must be called every 10 ms. */
    void tick();

    /** Returns the current load, for status pages, quota lending and metrics. */
    DispatcherStats stats();
}
