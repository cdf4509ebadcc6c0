package org.banyanspoke.core.quota;

import java.util.Map;
import org.banyanspoke.api.ids.TeamId;

/**
 * This host's present share of each team's quota: its part of the accepted roster, plus loans taken, minus loans given.
 *
 * @param shares share by team; a team without entry has no share
 */
public record QuotaShares(Map<TeamId, Share> shares) {
    /** Copies the map. */
    public QuotaShares {
        shares = Map.copyOf(shares);
    }

    /**
     * Share of one team's quota.
     *
     * @param startsPerSecond task starts a second
     * @param tasksInFlight waiting and running tasks
     * @param loanExpiresNanos monotonic time at which the first loan taken lapses; {@code Long.MAX_VALUE} with no loan
     * @param startsPerSecondWithoutLoans share that is left when the loans have lapsed
     * @param tasksInFlightWithoutLoans share that is left when the loans have lapsed
     */
    public record Share(
            double startsPerSecond,
            int tasksInFlight,
            long loanExpiresNanos,
            double startsPerSecondWithoutLoans,
            int tasksInFlightWithoutLoans) {
        /** Creates a share in which no part of {@code tasksInFlight} is borrowed. */
        public Share(
                double startsPerSecond, int tasksInFlight, long loanExpiresNanos, double startsPerSecondWithoutLoans) {
            this(startsPerSecond, tasksInFlight, loanExpiresNanos, startsPerSecondWithoutLoans, tasksInFlight);
        }

        /** Returns the task starts a second that are allowed at a monotonic time. */
        public double startsPerSecondAt(long nowNanos) {
            return holdsLoansAt(nowNanos) ? startsPerSecond : startsPerSecondWithoutLoans;
        }

        /** Returns the waiting and running tasks that are allowed at a monotonic time. */
        public int tasksInFlightAt(long nowNanos) {
            return holdsLoansAt(nowNanos) ? tasksInFlight : tasksInFlightWithoutLoans;
        }

        private boolean holdsLoansAt(long nowNanos) {
            return loanExpiresNanos == Long.MAX_VALUE || nowNanos - loanExpiresNanos < 0;
        }
    }
}
