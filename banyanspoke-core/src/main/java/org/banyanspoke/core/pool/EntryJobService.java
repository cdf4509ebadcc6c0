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

    /**
     * Submits a job.
     *
     * @param onOutcome called exactly once
     */
    void submit(PooledJob job, Consumer<JobOutcome> onOutcome);

    /**
     * Cancels a job whose caller no longer waits for it.
     *
     * @return whether the job was in progress on this host
     */
    boolean cancel(CallerJobId id, String reason);
}
