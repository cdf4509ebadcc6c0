package org.banyanspoke.core.config;

import java.util.Map;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Immutable configuration after an accepted ticket.
 *
 * @param number number of the last accepted ticket; 0 for the empty configuration
 * @param teams all teams
 * @param batches all batches
 * @param servers all backend servers
 * @param hosts roster of entry hosts
 * @param classShares guaranteed share of each urgency class, in percent
 */
public record ConfigState(
        long number,
        Map<TeamId, TeamConfig> teams,
        Map<BatchId, BatchConfig> batches,
        Map<ServerId, BackendServerConfig> servers,
        Map<HostId, EntryHostConfig> hosts,
        ClassShares classShares) {
    /** The configuration before the first ticket. */
    public static final ConfigState EMPTY =
            new ConfigState(0, Map.of(), Map.of(), Map.of(), Map.of(), ClassShares.DEFAULT);

    /** Makes unmodifiable copies of the maps. */
    public ConfigState {
        teams = Map.copyOf(teams);
        batches = Map.copyOf(batches);
        servers = Map.copyOf(servers);
        hosts = Map.copyOf(hosts);
    }
}
