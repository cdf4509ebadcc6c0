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

/** Loans in one direction with the time at which each lapses. */
final class LoanBook {
    /**
     * A loan with one peer.
     *
     * @param requestId the latest request that was granted for it
     */
    record Loan(HostId peer, long requestId, long expiresNanos, Map<TeamId, QuotaAmount> amounts) {
        boolean isSame(HostId otherPeer, long otherRequestId) {
            return LoanRequest.loanOf(requestId) == LoanRequest.loanOf(otherRequestId) && peer.equals(otherPeer);
        }
    }

    private final List<Loan> loans = new ArrayList<>();

    /** Adds a loan or extends it. Grants may arrive out of order, so a loan is never shortened. */
    void put(Loan loan) {
        Optional<Loan> known = find(loan.peer(), loan.requestId());
        if (known.isEmpty() || loan.expiresNanos() - known.get().expiresNanos() > 0) {
            known.ifPresent(loans::remove);
            loans.add(loan);
        }
    }

    void clear() {
        loans.clear();
    }

    void dropExpired(long nowNanos) {
        loans.removeIf(loan -> nowNanos - loan.expiresNanos() >= 0);
    }

    /** Returns the loan that a request began or extends. */
    Optional<Loan> find(HostId peer, long requestId) {
        return loans.stream().filter(loan -> loan.isSame(peer, requestId)).findFirst();
    }

    /** Returns the loans that lapse within a time, the first to lapse first. */
    List<Loan> lapsingWithin(long nanos, long nowNanos) {
        return loans.stream()
                .filter(loan -> loan.expiresNanos() - nowNanos <= nanos)
                .sorted(Comparator.comparingLong(loan -> loan.expiresNanos() - nowNanos))
                .toList();
    }

    /** Returns the sum of a team's loans, also of those that have lapsed and were not dropped. */
    QuotaAmount sum(TeamId team) {
        QuotaAmount sum = QuotaAmount.NONE;
        for (Loan loan : loans) {
            sum = sum.plus(loan.amounts().getOrDefault(team, QuotaAmount.NONE));
        }
        return sum;
    }

    /** Returns when the team's first loan lapses, or {@code Long.MAX_VALUE}. */
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
