package org.banyanspoke.core.admission.internal;

import java.util.HashMap;
import java.util.Map;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.core.quota.QuotaShares.Share;
import org.banyanspoke.core.time.MonotonicClock;

/** Tracks the use of all team quotas at this host. */
public final class TeamUsageTracker {
    private static final Share NO_SHARE = new Share(0, 0, Long.MAX_VALUE, 0);

    private final MonotonicClock clock;
    private final Map<TeamId, TeamUsage> teams = new HashMap<>();

    /** Creates a tracker in which no team has a share. */
    public TeamUsageTracker(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Replaces the shares. The share of a team without an entry becomes 0. */
    public void setShares(QuotaShares shares) {
        long nowNanos = clock.nanos();
        teams.forEach((team, usage) -> usage.setShare(shares.shares().getOrDefault(team, NO_SHARE), nowNanos));
        shares.shares().forEach((team, share) -> teams.computeIfAbsent(team, id -> new TeamUsage(share, nowNanos)));
        teams.entrySet()
                .removeIf(entry -> !shares.shares().containsKey(entry.getKey())
                        && entry.getValue().inFlight() == 0);
    }

    /** Returns the quota use of one team. */
    public TeamUsage team(TeamId team) {
        return teams.computeIfAbsent(team, id -> new TeamUsage(NO_SHARE, clock.nanos()));
    }

    /** Returns the number of teams with waiting tasks. */
    public int waitingTeams() {
        int count = 0;
        for (TeamUsage usage : teams.values()) {
            count += usage.waiting() > 0 ? 1 : 0;
        }
        return count;
    }

    /** Starts a new measuring interval for each team whose interval has lasted 1 s. */
    public void rollIntervals() {
        long nowNanos = clock.nanos();
        teams.values().forEach(usage -> usage.rollInterval(nowNanos));
    }

    /** Returns the start rate and demand of each team. */
    public Map<TeamId, TeamDemand> demand() {
        long nowNanos = clock.nanos();
        Map<TeamId, TeamDemand> demand = new HashMap<>();
        teams.forEach((team, usage) -> demand.put(team, usage.demand(nowNanos)));
        return demand;
    }
}
