package org.banyanspoke.core.dispatch;

import java.util.List;
import java.util.Map;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Snapshot of the state of a dispatcher.
 *
 * @param runningJobs jobs that have not ended
 * @param waitingTasks waiting tasks by class
 * @param tasksInFlight tasks that were sent and have no result yet
 * @param teamDemand recent demand of each team
 * @param idRecords records of used job ids
 * @param retainedAnswerBytes size of the retained answers
 * @param servers state of each backend server in use
 */
public record DispatcherStats(
        int runningJobs,
        Map<UrgencyClass, Integer> waitingTasks,
        int tasksInFlight,
        Map<TeamId, TeamDemand> teamDemand,
        int idRecords,
        long retainedAnswerBytes,
        List<ServerView> servers) {

    /**
     * Demand of one team at this host.
     *
     * @param startsPerSecond recent rate of task starts
     * @param demandedStartsPerSecond recent rate of task starts that the team would have had without a quota
     * @param tasksInFlight waiting and running tasks
     * @param demandedTasksInFlight waiting and running tasks plus the tasks of the largest job recently refused for
     *     its quota
     */
    public record TeamDemand(
            double startsPerSecond, double demandedStartsPerSecond, int tasksInFlight, int demandedTasksInFlight) {}

    /**
     * State of one backend server, as observed by this host.
     *
     * @param server id of the server
     * @param window maximum number of requests in flight
     * @param inFlight requests in flight
     * @param speed estimated speed; 1.0 for a server that runs tasks in their declared time
     * @param ejected whether the server is ejected after failures
     * @param leaving whether the server is leaving and receives no new tasks
     */
    public record ServerView(
            ServerId server, double window, int inFlight, double speed, boolean ejected, boolean leaving) {}
}
