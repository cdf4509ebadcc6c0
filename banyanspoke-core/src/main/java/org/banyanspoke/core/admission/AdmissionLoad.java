package org.banyanspoke.core.admission;

/**
 * Load of the host at the time of a submission.
 *
 * @param serverEligible whether a backend server in service may serve the batch
 * @param usableSlots tasks of the batch that this host can have running
 * @param classWaitNanos work that waits for the class, divided by its guaranteed share, among the classes in
 *     use, of the usable slots
 * @param teamWaitNanos work that waits for the team, divided by its equal share of that guarantee among the teams with
 *     waiting work
 * @param expectedWaitNanos time that a new task of the team would wait
 * @param teamWaiting tasks of the team that wait
 * @param teamInFlight tasks of the team that wait or run
 * @param teamMaxInFlight this host's share of the team's quota of such tasks
 * @param teamStartsPerSecond this host's share of the team's quota of starts
 * @param teamStartsReady starts that the quota allows at once
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
        double teamStartsReady) {}
