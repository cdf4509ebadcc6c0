package org.banyanspoke.core.routing;

import java.util.Collection;
import java.util.List;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.ids.HostId;

/** Chooses the entry hosts that share a backend server. */
@FunctionalInterface
public interface SubsetAssignment {
    /** Returns the sharers of a server. The result depends on the arguments only, so all hosts agree. */
    List<HostId> sharers(BackendServerConfig server, Collection<EntryHostConfig> roster);
}
