package org.banyanspoke.core.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.DispatchFilter;
import org.banyanspoke.core.schedule.SlotAccess;

/** Waiting and sent tasks of one urgency class, by team. */
final class ClassTasks {
    private final UrgencyClass urgency;
    private final Map<TeamId, TeamTasks> teams = new HashMap<>();
    private final TreeSet<TeamTasks> waiting = new TreeSet<>();
    private int size;
    private int inFlight;
    private int waitingWeight;
    private double virtualTime;
    private double meanServiceNanos = ServiceTimes.INITIAL_MEAN_NANOS;
    private final BacklogTracker backlog;
    private final TypicalUsage usage;

    ClassTasks(UrgencyClass urgency, long nowNanos) {
        this.urgency = urgency;
        this.backlog = new BacklogTracker(nowNanos);
        this.usage = new TypicalUsage(nowNanos);
    }

    UrgencyClass urgency() {
        return urgency;
    }

    int size() {
        return size;
    }

    int inFlight() {
        return inFlight;
    }

    int waitingWeight() {
        return waitingWeight;
    }

    double meanServiceNanos() {
        return meanServiceNanos;
    }

    /** Returns the tasks of a team, or null if it never had a task in this class. */
    TeamTasks find(TeamId team) {
        return teams.get(team);
    }

    TeamTasks team(TeamId team, long nowNanos) {
        return teams.computeIfAbsent(team, id -> new TeamTasks(id, this, teams.size(), meanServiceNanos, nowNanos));
    }

    void add(TeamTasks team, int weight, int count, long nowNanos) {
        updateUsage(nowNanos);
        if (size == 0) {
            backlog.onEmpty(nowNanos);
        }
        removeFromOrder(team);
        team.setWeight(weight);
        if (team.size() == 0) {
            team.raiseVirtualTime(virtualTime);
        }
        team.changeSize(count, nowNanos);
        size += count;
        addToOrder(team);
    }

    void remove(TeamTasks team, int count, long nowNanos) {
        updateUsage(nowNanos);
        removeFromOrder(team);
        team.changeSize(-count, nowNanos);
        size -= count;
        addToOrder(team);
    }

    void onSent(TeamTasks team, long nowNanos) {
        updateUsage(nowNanos);
        virtualTime = Math.max(virtualTime, team.virtualTime());
        removeFromOrder(team);
        team.setGuaranteedSlots(usage.slots() * team.weight() / Math.max(team.weight(), waitingWeight + team.weight()));
        team.onSent(nowNanos);
        inFlight++;
        addToOrder(team);
    }

    void onEnded(TeamTasks team, long serviceNanos, long nowNanos) {
        updateUsage(nowNanos);
        removeFromOrder(team);
        team.onEnded(serviceNanos, nowNanos);
        addToOrder(team);
        inFlight = Math.max(0, inFlight - 1);
        meanServiceNanos = ServiceTimes.updatedMean(meanServiceNanos, serviceNanos);
    }

    private void updateUsage(long nowNanos) {
        usage.update(nowNanos, inFlight, hasSustainedBacklog(nowNanos));
    }

    boolean hasSustainedBacklog(long nowNanos) {
        return backlog.isSustained(size, nowNanos);
    }

    void setGuaranteedSlots(double slots) {
        usage.setGuaranteedSlots(slots);
    }

    /** Returns the rank among classes with a sustained backlog; the lowest rank is served first. */
    double rank() {
        return usage.rank(inFlight, size);
    }

    /** Returns the number of slots that the class typically uses. */
    double typicalSlots() {
        return usage.slots();
    }

    /**
     * Returns the first sendable job of a team without a sustained backlog, or null. While the class as a whole has a
     * sustained backlog, only teams that use less than three times their typical number of slots are considered.
     */
    JobTasks firstWithoutSustainedBacklog(DispatchFilter filter, long poll, long nowNanos) {
        boolean classHasSustainedBacklog = hasSustainedBacklog(nowNanos);
        for (TeamTasks team : waiting) {
            boolean isNearTypicalUsage =
                    !classHasSustainedBacklog || team.inFlight() < Math.max(2, 3 * team.typicalSlots());
            JobTasks job = team.hasSustainedBacklog(nowNanos) || !isNearTypicalUsage
                    ? null
                    : team.firstSendable(filter, SlotAccess.ALL_SLOTS, poll);
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    /** Returns the first sendable job of the team with the lowest rank, or null. */
    JobTasks firstSendable(DispatchFilter filter, long poll) {
        JobTasks best = null;
        double bestRank = Double.MAX_VALUE;
        for (TeamTasks team : waiting) {
            double rank = team.rank();
            if (rank >= bestRank) {
                continue;
            }
            JobTasks job = team.firstSendable(filter, team.slotAccess(), poll);
            if (job != null) {
                best = job;
                bestRank = rank;
            }
        }
        return best;
    }

    /** Removes the team from the sorted set before its sort key changes. */
    private void removeFromOrder(TeamTasks team) {
        if (team.size() > 0) {
            waiting.remove(team);
            waitingWeight -= team.weight();
        }
    }

    private void addToOrder(TeamTasks team) {
        if (team.size() > 0) {
            waiting.add(team);
            waitingWeight += team.weight();
        }
    }
}
