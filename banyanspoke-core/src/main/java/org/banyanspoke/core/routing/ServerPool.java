package org.banyanspoke.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.DispatcherStats;
import org.banyanspoke.core.schedule.SlotAccess;

/** Backend servers that one entry host may use, with their concurrency windows, learned speeds and failure history. */
public interface ServerPool {
    /** Applies a configuration. Servers that remain keep their learned state. */
    void configure(ConfigState config);

    /** Replaces the set of servers that are leaving according to sources other than the configuration. */
    void setLeaving(Set<ServerId> leaving);

    /** Returns whether any server in service may serve the batch, whether or not it has free capacity. */
    boolean hasEligible(BatchConfig batch);

    /**
     * Returns a server with capacity for the task, or empty if all eligible servers are full, ejected or leaving. A
     * server with capacity for a claim to unreserved slots also has capacity for a claim to all slots.
     */
    Optional<ServerId> select(BatchConfig batch, TaskSpec task, SlotAccess claim);

    /** Records that a task was sent. */
    void onSent(ServerId server, TaskSpec task);

    /** Records the result of an attempt. */
    void onEnded(ServerId server, TaskSpec task, AttemptResult result);

    /**
     * Records the result of an attempt that the server was asked to stop because its job had ended. Releases the
     * attempt's place in the window. A result other than {@code DONE} is caused by the stop and is not a server
     * failure.
     */
    default void onStopped(ServerId server, TaskSpec task, AttemptResult result) {
        onEnded(server, task, result);
    }

    /** Returns how many tasks of the batch this host can run: the sum of the windows of its usable servers. */
    double usableSlots(BatchConfig batch);

    /** Returns the state of each server. */
    List<DispatcherStats.ServerView> views();
}
