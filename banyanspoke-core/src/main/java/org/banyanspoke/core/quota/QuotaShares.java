package org.banyanspoke.core.quota;

import java.util.Map;
import org.banyanspoke.api.ids.TeamId;

/**
 * Current share of this host in the quota of each team: its configured allocation, plus borrowed loans, minus lent
 * loans.
 *
 * @param shares share by team; a team without an entry has no share
 */
public record QuotaShares(Map<TeamId, Share> shares) {
    /** Makes a defensive copy of the map. */
    public QuotaShares {
        shares = Map.copyOf(shares);
    }

    /**
     * Share in the quota of one team.
     *
     * @param startsPerSecond task starts per second, including loans
     * @param tasksInFlight number of waiting and running tasks, including loans
     * @param loanExpiresNanos monotonic time at which the first borrowed loan expires; {@code Long.MAX_VALUE} without a
     *     loan
     * @param startsPerSecondWithoutLoans task starts per second after expiry of the loans
     * @param tasksInFlightWithoutLoans number of waiting and running tasks after expiry of the loans
     */
    public record Share(
            double startsPerSecond,
            int tasksInFlight,
            long loanExpiresNanos,
            double startsPerSecondWithoutLoans,
            int tasksInFlightWithoutLoans) {
        /** Creates a share without borrowed {@code tasksInFlight}. */
        public Share(
                double startsPerSecond, int tasksInFlight, long loanExpiresNanos, double startsPerSecondWithoutLoans) {
            this(startsPerSecond, tasksInFlight, loanExpiresNanos, startsPerSecondWithoutLoans, tasksInFlight);
        }

        /** Returns the task starts per second allowed at a monotonic time. */
        public double startsPerSecondAt(long nowNanos) {
            return holdsLoansAt(nowNanos) ? startsPerSecond : startsPerSecondWithoutLoans;
        }

        /** Returns the number of waiting and running tasks allowed at a monotonic time. */
        public int tasksInFlightAt(long nowNanos) {
            return holdsLoansAt(nowNanos) ? tasksInFlight : tasksInFlightWithoutLoans;
        }

        private boolean holdsLoansAt(long nowNanos) {
            return loanExpiresNanos == Long.MAX_VALUE || nowNanos - loanExpiresNanos < 0;
        }
    }
}
