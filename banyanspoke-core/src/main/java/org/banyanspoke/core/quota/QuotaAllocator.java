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
 * Divides each team's quota among the configured entry hosts.
 *
 * <p>Starts per second are divided evenly. Tasks in flight are divided evenly if half of an equal share covers a job of
 * {@link JobRequest#MAX_TASKS}. Otherwise half of the quota, but at least {@code MAX_TASKS}, becomes a reserve that is
 * held by as many hosts as can hold {@code MAX_TASKS} each. Without the reserve, a large job on a cluster of 180 hosts
 * would need loans from dozens of hosts.
 */
public final class QuotaAllocator {
    private QuotaAllocator() {}

    /**
     * Returns the allocations of one host. The allocations of all configured hosts sum to exactly the quota.
     *
     * @return allocation by team; empty if the host is not configured
     */
    public static Map<TeamId, QuotaAllocation> allocate(ConfigState config, HostId host) {
        List<HostId> hostIds = sortedHostIds(config);
        int index = hostIds.indexOf(host);
        if (index < 0) {
            return Map.of();
        }
        Map<TeamId, QuotaAllocation> allocations = new HashMap<>();
        for (TeamConfig team : config.teams().values()) {
            allocations.put(team.id(), allocation(team, hostIds, index));
        }
        return allocations;
    }

    /** Returns the hosts that hold a reserve of a team's quota; empty if the quota is divided evenly. */
    public static List<HostId> reserveHolders(ConfigState config, TeamId team) {
        TeamConfig teamConfig = config.teams().get(team);
        return teamConfig == null ? List.of() : reserveHolders(teamConfig, sortedHostIds(config));
    }

    private static QuotaAllocation allocation(TeamConfig team, List<HostId> hostIds, int index) {
        // A rotation per team keeps the remainders of all quotas from going to the same hosts.
        int rotation = Hashing.murmur3_32_fixed()
                .hashString(team.id().value(), StandardCharsets.UTF_8)
                .asInt();
        int hosts = hostIds.size();
        int position = Math.floorMod(index + rotation, hosts);
        long microStarts = (long) (team.startsPerSecond() * QuotaAmount.MICROS);
        long reserve = reserveTasks(team, hosts);
        QuotaAmount equalShare = new QuotaAmount(
                divide(microStarts, position, hosts), divide(team.tasksInFlight() - reserve, position, hosts));
        List<HostId> holders = reserveHolders(team, hostIds);
        int holderIndex = holders.indexOf(hostIds.get(index));
        long hostReserve = holderIndex < 0 ? 0 : divide(reserve, holderIndex, holders.size());
        return new QuotaAllocation(equalShare, new QuotaAmount(0, hostReserve));
    }

    private static List<HostId> reserveHolders(TeamConfig team, List<HostId> hostIds) {
        int count = (int) (reserveTasks(team, hostIds.size()) / JobRequest.MAX_TASKS);
        return Rendezvous.choose("quota/" + team.id(), hostIds, count);
    }

    private static long reserveTasks(TeamConfig team, int hosts) {
        long quota = team.tasksInFlight();
        boolean equalSharesSuffice = quota / hosts >= 2L * JobRequest.MAX_TASKS;
        if (quota < JobRequest.MAX_TASKS || equalSharesSuffice) {
            return 0;
        }
        return Math.max(quota / 2, JobRequest.MAX_TASKS);
    }

    private static List<HostId> sortedHostIds(ConfigState config) {
        List<HostId> hostIds = new ArrayList<>(config.hosts().keySet());
        hostIds.sort(Comparator.comparing(HostId::value));
        return hostIds;
    }

    private static long divide(long quota, int position, int hosts) {
        return quota / hosts + (position < quota % hosts ? 1 : 0);
    }
}
