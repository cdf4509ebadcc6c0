package org.banyanspoke.core.routing;

import java.util.List;
import java.util.Optional;
import org.banyanspoke.api.job.TaskSpec;

/** Chooses one of several servers with room. */
@FunctionalInterface
public interface ServerSelector {
    /**
     * Returns the server for the task.
     *
     * @param candidates servers that may serve the task and have room; read only during the call
     * @return a candidate, or empty if there is none
     */
    Optional<ServerCandidate> select(List<? extends ServerCandidate> candidates, TaskSpec task);
}
