package org.banyanspoke.core.routing;

import java.util.Collection;
import java.util.List;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.ids.HostId;

/** Assigns a subset of the entry hosts to each backend server. */
@FunctionalInterface
public interface SubsetAssignment {
    /** Returns the entry hosts that may use a server. Deterministic, so that all hosts compute the same assignment. */
    List<HostId> assignedHosts(BackendServerConfig server, Collection<EntryHostConfig> entryHosts);
}
