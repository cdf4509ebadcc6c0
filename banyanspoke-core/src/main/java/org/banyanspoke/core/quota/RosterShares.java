package org.banyanspoke.core.quota;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.membership.Rendezvous;

/**
 * Divides each team's quota among the entry hosts of the accepted roster.
 *
 * <p>Starts/s are divided evenly. Tasks in flight are too if half of an even part holds the largest job. If not, half of the
 * quota, but at least one largest job, is a reserve on as few hosts as still hold a largest job each: with 180 hosts a job
 * would otherwise need loans from dozens of them.
 */
public final class RosterShares {
    private RosterShares() {}

    /**
     * Returns a host's part of every quota. The parts of all hosts of the roster add up to exactly the quota.
     *
     * @return part by team; empty if the host is not in the roster
     */
    public static Map<TeamId, RosterPart> of(ConfigState config, HostId host) {
        List<HostId> roster = sortedRoster(config);
        int rank = roster.indexOf(host);
        if (rank < 0) {
            return Map.of();
        }
        Map<TeamId, RosterPart> parts = new HashMap<>();
        for (TeamConfig team : config.teams().values()) {
            parts.put(team.id(), part(team, roster, rank));
        }
        return parts;
    }

    /** Returns the hosts that hold a reserve of a team's quota; empty if it is divided evenly. */
    public static List<HostId> reserveHolders(ConfigState config, TeamId team) {
        TeamConfig teamConfig = config.teams().get(team);
        return teamConfig == null ? List.of() : reserveHolders(teamConfig, sortedRoster(config));
    }

    private static RosterPart part(TeamConfig team, List<HostId> roster, int rank) {
        // The rotation spreads the remainders of small quotas over the hosts.
        int rotation = Hashing.murmur3_32_fixed()
                .hashString(team.id().value(), StandardCharsets.UTF_8)
                .asInt();
        int hosts = roster.size();
        int place = Math.floorMod(rank + rotation, hosts);
        long microStarts = (long) (team.startsPerSecond() * QuotaAmount.MICROS);
        long reserve = reserveTasks(team, hosts);
        QuotaAmount even =
                new QuotaAmount(part(microStarts, place, hosts), part(team.tasksInFlight() - reserve, place, hosts));
        List<HostId> holders = reserveHolders(team, roster);
        int holder = holders.indexOf(roster.get(rank));
        long held = holder < 0 ? 0 : part(reserve, holder, holders.size());
        return new RosterPart(even, new QuotaAmount(0, held));
    }

    private static List<HostId> reserveHolders(TeamConfig team, List<HostId> roster) {
        int count = (int) (reserveTasks(team, roster.size()) / JobRequest.MAX_TASKS);
        return Rendezvous.choose("quota/" + team.id(), roster, count);
    }

    private static long reserveTasks(TeamConfig team, int hosts) {
        long quota = team.tasksInFlight();
        boolean evenPartsSuffice = quota / hosts >= 2L * JobRequest.MAX_TASKS;
        if (quota < JobRequest.MAX_TASKS || evenPartsSuffice) {
            return 0;
        }
        return Math.max(quota / 2, JobRequest.MAX_TASKS);
    }

    private static List<HostId> sortedRoster(ConfigState config) {
        List<HostId> roster = new ArrayList<>(config.hosts().keySet());
        roster.sort(Comparator.comparing(HostId::value));
        return roster;
    }

    private static long part(long quota, int place, int hosts) {
        return quota / hosts + (place < quota % hosts ? 1 : 0);
    }
}
