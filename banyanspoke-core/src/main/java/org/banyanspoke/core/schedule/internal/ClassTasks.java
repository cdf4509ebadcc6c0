package org.banyanspoke.core.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.QueuedTask;

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

    ClassTasks(UrgencyClass urgency) {
        this.urgency = urgency;
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

    TeamTasks team(TeamId team) {
        return teams.computeIfAbsent(team, id -> new TeamTasks(id, this, teams.size(), meanServiceNanos));
    }

    void add(TeamTasks team, int weight, int count) {
        removeFromOrder(team);
        team.setWeight(weight);
        if (team.size() == 0) {
            team.catchUp(virtualTime);
        }
        team.addSize(count);
        size += count;
        addToOrder(team);
    }

    void remove(TeamTasks team, int count) {
        removeFromOrder(team);
        team.addSize(-count);
        size -= count;
        addToOrder(team);
    }

    void onSent(TeamTasks team) {
        virtualTime = Math.max(virtualTime, team.virtualTime());
        removeFromOrder(team);
        team.onSent();
        inFlight++;
        addToOrder(team);
    }

    void onEnded(TeamTasks team, long serviceNanos) {
        removeFromOrder(team);
        team.onEnded(serviceNanos);
        addToOrder(team);
        inFlight = Math.max(0, inFlight - 1);
        meanServiceNanos = ServiceTimes.updatedMean(meanServiceNanos, serviceNanos);
    }

    /** Returns the first sendable job of the team that is served next, or null. */
    JobTasks firstSendable(Predicate<QueuedTask> sendable, long poll) {
        for (TeamTasks team : waiting) {
            JobTasks job = team.firstSendable(sendable, poll);
            if (job != null) {
                return job;
            }
        }
        return null;
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
