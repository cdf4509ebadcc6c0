package org.banyanspoke.core.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.Sendable;
import org.banyanspoke.core.schedule.SlotClaim;

/** Waiting and sent tasks of one class, by team. */
final class ClassTasks {
    private final UrgencyClass urgency;
    private final Map<TeamId, TeamTasks> teams = new HashMap<>();
    private final TreeSet<TeamTasks> waiting = new TreeSet<>();
    private int size;
    private int inFlight;
    private int waitingWeight;
    private double virtualTime;
    private double meanServiceNanos = ServiceTimes.INITIAL_MEAN_NANOS;
    private final Backlog backlog;
    private final UsageLevel usage;

    ClassTasks(UrgencyClass urgency, long nowNanos) {
        this.urgency = urgency;
        this.backlog = new Backlog(nowNanos);
        this.usage = new UsageLevel(nowNanos);
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

    /** Returns the team's state, or null if it never had a task in this class. */
    TeamTasks existing(TeamId team) {
        return teams.get(team);
    }

    TeamTasks team(TeamId team, long nowNanos) {
        return teams.computeIfAbsent(team, id -> new TeamTasks(id, this, teams.size(), meanServiceNanos, nowNanos));
    }

    void add(TeamTasks team, int weight, int count, long nowNanos) {
        advance(nowNanos);
        if (size == 0) {
            backlog.onEmpty(nowNanos);
        }
        removeFromOrder(team);
        team.setWeight(weight);
        if (team.size() == 0) {
            team.catchUp(virtualTime);
        }
        team.addSize(count, nowNanos);
        size += count;
        addToOrder(team);
    }

    void remove(TeamTasks team, int count, long nowNanos) {
        advance(nowNanos);
        removeFromOrder(team);
        team.addSize(-count, nowNanos);
        size -= count;
        addToOrder(team);
    }

    void onSent(TeamTasks team, long nowNanos) {
        advance(nowNanos);
        virtualTime = Math.max(virtualTime, team.virtualTime());
        removeFromOrder(team);
        team.setGuaranteedSlots(usage.slots() * team.weight() / Math.max(team.weight(), waitingWeight + team.weight()));
        team.onSent(nowNanos);
        inFlight++;
        addToOrder(team);
    }

    void onEnded(TeamTasks team, long serviceNanos, long nowNanos) {
        advance(nowNanos);
        removeFromOrder(team);
        team.onEnded(serviceNanos, nowNanos);
        addToOrder(team);
        inFlight = Math.max(0, inFlight - 1);
        meanServiceNanos = ServiceTimes.updatedMean(meanServiceNanos, serviceNanos);
    }

    private void advance(long nowNanos) {
        usage.advance(nowNanos, inFlight, pilesUp(nowNanos));
    }

    boolean pilesUp(long nowNanos) {
        return backlog.pilesUp(size, nowNanos);
    }

    void setGuaranteedSlots(double slots) {
        usage.setGuaranteedSlots(slots);
    }

    /** Returns the order among those whose work piles up, least first. */
    double rank() {
        return usage.rank(inFlight, size);
    }

    /** Returns the slots that the class usually uses. */
    double usualSlots() {
        return usage.slots();
    }

    /** Returns the first sendable job of the teams whose work does not pile up, or null. */
    JobTasks firstWithoutBacklog(Sendable sendable, long poll, long nowNanos) {
        boolean classPilesUp = pilesUp(nowNanos);
        for (TeamTasks team : waiting) {
            boolean usual = !classPilesUp || team.inFlight() < Math.max(2, 3 * team.usualSlots());
            JobTasks job =
                    team.pilesUp(nowNanos) || !usual ? null : team.firstSendable(sendable, SlotClaim.PROTECTED, poll);
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    /** Returns the first sendable job of the team that is served next, or null. */
    JobTasks firstSendable(Sendable sendable, long poll) {
        JobTasks best = null;
        double bestRank = Double.MAX_VALUE;
        for (TeamTasks team : waiting) {
            double rank = team.rank();
            if (rank >= bestRank) {
                continue;
            }
            JobTasks job = team.firstSendable(sendable, team.claim(), poll);
            if (job != null) {
                best = job;
                bestRank = rank;
            }
        }
        return best;
    }

    /** The sort key of a team must not change while it is in the tree. */
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
