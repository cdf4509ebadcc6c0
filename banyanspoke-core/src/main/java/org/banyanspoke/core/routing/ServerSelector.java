package org.banyanspoke.core.routing;

import java.util.List;
import java.util.Optional;
import org.banyanspoke.api.job.TaskSpec;

/** Selects one of several servers with free capacity. */
@FunctionalInterface
public interface ServerSelector {
    /**
     * Selects a server for the task.
     *
     * @param candidates eligible servers with free capacity; the list is valid only during the call
     * @return the selected candidate, or empty if there are no candidates
     */
    Optional<ServerCandidate> select(List<? extends ServerCandidate> candidates, TaskSpec task);
}
