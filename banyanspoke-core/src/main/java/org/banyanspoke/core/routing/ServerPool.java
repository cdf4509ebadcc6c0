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

/** The backend servers that one entry host may use, with their windows, learned speeds and failures. */
public interface ServerPool {
    /** Takes over a configuration. Learned state of servers that stay is kept. */
    void configure(ConfigState config);

    /** Replaces the set of servers that are leaving by other sources than the configuration. */
    void setLeaving(Set<ServerId> leaving);

    /** Returns whether any server in service may serve the batch, with or without room at present. */
    boolean hasEligible(BatchConfig batch);

    /**
     * Chooses a server with room for the task, or empty if all eligible ones are full, set aside or leaving. A server with
     * room for a yielding task also has room for a protected one.
     */
    Optional<ServerId> select(BatchConfig batch, TaskSpec task, SlotAccess claim);

    /** Tells that a task was sent. */
    void onSent(ServerId server, TaskSpec task);

    /** Tells how an attempt ended. */
    void onEnded(ServerId server, TaskSpec task, AttemptResult result);

    /**
     * Tells that an attempt ended after its job had ended and the server was asked to stop the task. Frees its place in
     * the window; anything but {@code DONE} is the effect of the stop and no failure of the server.
     */
    default void onStopped(ServerId server, TaskSpec task, AttemptResult result) {
        onEnded(server, task, result);
    }

    /** Returns the sum of the windows of the servers that may serve the batch: tasks this host can have running. */
    double usableSlots(BatchConfig batch);

    /** Returns the state of each server. */
    List<DispatcherStats.ServerView> views();
}
