package org.banyanspoke.core.quota;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;

/** Divides each team's quota among the entry hosts of the accepted roster. */
public final class RosterShares {
    private RosterShares() {}

    /**
     * Returns a host's part of every quota. The parts of all hosts of the roster add up to exactly the quota.
     *
     * @return part by team; empty if the host is not in the roster
     */
    public static Map<TeamId, QuotaAmount> of(ConfigState config, HostId host) {
        List<HostId> roster = new ArrayList<>(config.hosts().keySet());
        roster.sort((a, b) -> a.value().compareTo(b.value()));
        int rank = roster.indexOf(host);
        if (rank < 0) {
            return Map.of();
        }
        Map<TeamId, QuotaAmount> parts = new HashMap<>();
        for (TeamConfig team : config.teams().values()) {
            parts.put(team.id(), part(team, rank, roster.size()));
        }
        return parts;
    }

    private static QuotaAmount part(TeamConfig team, int rank, int hosts) {
        // The rotation spreads the remainders of small quotas over the hosts.
        int rotation = Hashing.murmur3_32_fixed()
                .hashString(team.id().value(), StandardCharsets.UTF_8)
                .asInt();
        int place = Math.floorMod(rank + rotation, hosts);
        long microStarts = (long) (team.startsPerSecond() * QuotaAmount.MICROS);
        return new QuotaAmount(part(microStarts, place, hosts), part(team.tasksInFlight(), place, hosts));
    }

    private static long part(long quota, int place, int hosts) {
        return quota / hosts + (place < quota % hosts ? 1 : 0);
    }
}
