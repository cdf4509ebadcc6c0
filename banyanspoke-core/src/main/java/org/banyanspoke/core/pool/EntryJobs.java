package org.banyanspoke.core.pool;

import java.util.Optional;
import java.util.function.Consumer;

/** What an entry host does for its callers, whatever protocol they speak. All calls come on one thread. */
public interface EntryJobs {
    /** Returns whether new connections should come here. */
    boolean ready();

    /** Returns the configuration in force; empty before the first one is known. */
    Optional<SiteConfig> config();

    /** Returns how many jobs of a queue wait with no task started. */
    int pending(String queue);

    /**
     * Takes a job.
     *
     * @param whenEnded told exactly once
     */
    void submit(PooledJob job, Consumer<JobOutcome> whenEnded);

    /**
     * Ends a job that its caller no longer waits for.
     *
     * @return whether the job was in progress here
     */
    boolean cancel(CallerJobId id, String reason);
}
