package org.banyanspoke.core.quota.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.quota.LoanRequest;
import org.banyanspoke.core.quota.QuotaAmount;

/** Unexpired loans in one direction: lent or borrowed. */
final class ActiveLoans {
    /**
     * Loan to or from one peer.
     *
     * @param requestId id of the most recently granted request for this loan
     */
    record Loan(HostId peer, long requestId, long expiresNanos, Map<TeamId, QuotaAmount> amounts) {
        boolean matches(HostId otherPeer, long otherRequestId) {
            return LoanRequest.loanIdOf(requestId) == LoanRequest.loanIdOf(otherRequestId) && peer.equals(otherPeer);
        }
    }

    private final List<Loan> loans = new ArrayList<>();

    /** Adds or renews a loan. Grants may arrive out of order, so the expiry never moves back. */
    void put(Loan loan) {
        Optional<Loan> existing = find(loan.peer(), loan.requestId());
        if (existing.isEmpty() || loan.expiresNanos() - existing.get().expiresNanos() > 0) {
            existing.ifPresent(loans::remove);
            loans.add(loan);
        }
    }

    void clear() {
        loans.clear();
    }

    void removeExpired(long nowNanos) {
        loans.removeIf(loan -> nowNanos - loan.expiresNanos() >= 0);
    }

    /** Returns the loan that a request created or renews. */
    Optional<Loan> find(HostId peer, long requestId) {
        return loans.stream().filter(loan -> loan.matches(peer, requestId)).findFirst();
    }

    /** Returns the loans that expire within a duration, in order of expiry. */
    List<Loan> expiringWithin(long nanos, long nowNanos) {
        return loans.stream()
                .filter(loan -> loan.expiresNanos() - nowNanos <= nanos)
                .sorted(Comparator.comparingLong(loan -> loan.expiresNanos() - nowNanos))
                .toList();
    }

    /** Returns the sum of a team's loans, including expired ones that have not been removed. */
    QuotaAmount sum(TeamId team) {
        QuotaAmount sum = QuotaAmount.ZERO;
        for (Loan loan : loans) {
            sum = sum.plus(loan.amounts().getOrDefault(team, QuotaAmount.ZERO));
        }
        return sum;
    }

    /** Returns the monotonic time at which the team's first loan expires, or {@code Long.MAX_VALUE} without a loan. */
    long firstExpiryNanos(TeamId team, long nowNanos) {
        long remainingNanos = Long.MAX_VALUE;
        for (Loan loan : loans) {
            if (loan.amounts().containsKey(team)) {
                remainingNanos = Math.min(remainingNanos, loan.expiresNanos() - nowNanos);
            }
        }
        return remainingNanos == Long.MAX_VALUE ? Long.MAX_VALUE : nowNanos + remainingNanos;
    }
}
