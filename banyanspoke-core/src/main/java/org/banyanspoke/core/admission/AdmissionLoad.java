package org.banyanspoke.core.admission;

/**
 * Load of this host when a job is submitted.
 *
 * @param serverEligible whether a backend server in service may serve the batch
 * @param usableSlots number of tasks of the batch that this host can run concurrently
 * @param classWaitNanos queued work of the class, divided by the usable slots that the class is guaranteed among the
 *     classes in use
 * @param teamWaitNanos queued work of the team, divided by its equal share of that guarantee among the teams with
 *     queued work
 * @param expectedWaitNanos expected queueing time of a new task of the team
 * @param teamWaiting number of waiting tasks of the team
 * @param teamInFlight number of waiting and running tasks of the team
 * @param teamMaxInFlight this host's share of the team's quota of waiting and running tasks
 * @param teamStartsPerSecond this host's share of the team's quota of task starts
 * @param teamAvailableStarts number of starts that the quota allows immediately
 */
public record AdmissionLoad(
        boolean serverEligible,
        double usableSlots,
        long classWaitNanos,
        long teamWaitNanos,
        long expectedWaitNanos,
        int teamWaiting,
        int teamInFlight,
        int teamMaxInFlight,
        double teamStartsPerSecond,
        double teamAvailableStarts) {}
