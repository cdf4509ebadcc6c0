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
 * Owns the jobs, the queue and the windows of one entry host process. Not thread safe: every method runs on the dispatch
 * thread, and so do all callbacks.
 */
public interface Dispatcher {
    /** Puts a configuration in force for every start from now on. */
    void configure(ConfigState config);

    /** Replaces the set of backend servers that the host list, peers or tickets report as leaving. */
    void setLeaving(Set<ServerId> leaving);

    /** Sets this host's share of each team's quota; see {@link org.banyanspoke.core.quota.QuotaShares}. */
    void setQuotaShares(org.banyanspoke.core.quota.QuotaShares shares);

    /**
     * Issues job ids. Nothing is started.
     *
     * @throws RefusedException if the team is unknown, the host drains or holds too many records
     */
    List<JobId> reserve(TeamId team, int count) throws RefusedException;

    /**
     * Submits a job, or attaches to it if the same body was submitted before under this id.
     *
     * @param onEnd receives the final answer, at once if the job has already ended
     * @throws DispatchException if the submission is refused, conflicts or its id has expired
     */
    void submit(Submission submission, Consumer<JobAnswer> onEnd) throws DispatchException;

    /**
     * Returns the present state of a job.
     *
     * @throws DispatchException if this process does not know the job or its answer is gone
     */
    JobAnswer status(TeamId team, JobId jobId) throws DispatchException;

    /**
     * Cancels a job. Tasks not yet sent never start; running ones are asked to stop. No effect on an ended job.
     *
     * @return the state after the call
     * @throws DispatchException as {@link #status}
     */
    JobAnswer cancel(TeamId team, JobId jobId) throws DispatchException;

    /** Refuses new work from now on and calls back when the last running job has ended. */
    void drain(Runnable onIdle);

    /** Returns the record of every used id whose generation is open, with kept answers, for the successor. */
    org.banyanspoke.core.identity.JobArchive archive();

    /** Expires deadlines, contracts and kept answers and sends waiting tasks. Called every 10 ms. */
    void tick();

    /** Returns counters and the load for status pages, quota lending and metrics. */
    DispatcherStats stats();
}
