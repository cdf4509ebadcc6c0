package org.banyanspoke.core.dispatch;

import java.util.List;
import java.util.Map;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * A view of a dispatcher at one moment.
 *
 * @param runningJobs jobs that have not ended
 * @param waitingTasks tasks waiting by class
 * @param tasksInFlight tasks sent and not answered
 * @param teamDemand demand and use of each team's start quota lately
 * @param idRecords records of used job ids
 * @param keptAnswerBytes size of the kept answers
 * @param servers state of each backend server in use
 */
public record DispatcherStats(
        int runningJobs,
        Map<UrgencyClass, Integer> waitingTasks,
        int tasksInFlight,
        Map<TeamId, TeamDemand> teamDemand,
        int idRecords,
        long keptAnswerBytes,
        List<ServerView> servers) {

    /**
     * Demand of one team at this host.
     *
     * @param startsPerSecond starts a second lately
     * @param demandedStartsPerSecond starts a second that it would have made with no quota
     * @param tasksInFlight waiting and running tasks
     * @param demandedTasksInFlight these and the tasks of the largest job that the quota refused lately
     */
    public record TeamDemand(
            double startsPerSecond, double demandedStartsPerSecond, int tasksInFlight, int demandedTasksInFlight) {}

    /**
     * One backend server as this host sees it.
     *
     * @param server the server
     * @param window requests allowed in flight
     * @param inFlight requests in flight
     * @param speed learned speed, 1.0 for a server that runs tasks in their declared time
     * @param ejected whether it is set aside after failures
     * @param leaving whether it receives no new work
     */
    public record ServerView(
            ServerId server, double window, int inFlight, double speed, boolean ejected, boolean leaving) {}
}
