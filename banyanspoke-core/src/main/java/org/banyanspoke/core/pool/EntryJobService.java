package org.banyanspoke.core.pool;

import java.util.Optional;
import java.util.function.Consumer;

/** Job operations that an entry host offers to callers, independent of their protocol. Called on a single thread. */
public interface EntryJobService {
    /** Returns whether this host should receive new connections. */
    boolean isReady();

    /** Returns the current configuration; empty until the first one has been received. */
    Optional<SiteConfig> config();

    /** Returns the number of jobs of a queue that are waiting with no task started. */
    int pendingJobs(String queue);

    /** A caller's attempt to have a job run. Another attempt with the same job id may be open at the same time. */
    @FunctionalInterface
    interface Attempt {
        /** Gives up this attempt because its caller no longer waits; the job goes on for other attempts. */
        void abandon(String reason);
    }

    /**
     * Submits a job.
     *
     * @param onOutcome called exactly once
     */
    Attempt submit(PooledJob job, Consumer<JobOutcome> onOutcome);

    /**
     * Cancels a job, wherever its callers wait.
     *
     * @param onReply called exactly once, with whether any host knew the job; no task of the job starts later than shortly
     *     after that
     */
    void cancel(CallerJobId id, String reason, Consumer<Boolean> onReply);
}
