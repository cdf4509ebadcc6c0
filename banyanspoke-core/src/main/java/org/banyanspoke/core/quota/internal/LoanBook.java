package org.banyanspoke.core.quota.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.quota.QuotaAmount;

/** Loans in one direction with the time at which each lapses. */
final class LoanBook {
    /** A loan with one peer. */
    record Loan(HostId peer, long requestId, long expiresNanos, Map<TeamId, QuotaAmount> amounts) {}

    private final List<Loan> loans = new ArrayList<>();

    void add(Loan loan) {
        loans.add(loan);
    }

    void clear() {
        loans.clear();
    }

    void dropExpired(long nowNanos) {
        loans.removeIf(loan -> nowNanos - loan.expiresNanos() >= 0);
    }

    /** Returns the loan with these keys, or null. */
    Loan find(HostId peer, long requestId) {
        for (Loan loan : loans) {
            if (loan.requestId() == requestId && loan.peer().equals(peer)) {
                return loan;
            }
        }
        return null;
    }

    /** Returns the sum of a team's loans that have not lapsed at a time. */
    QuotaAmount sum(TeamId team, long atNanos) {
        QuotaAmount sum = QuotaAmount.NONE;
        for (Loan loan : loans) {
            if (atNanos - loan.expiresNanos() < 0) {
                sum = sum.plus(loan.amounts().getOrDefault(team, QuotaAmount.NONE));
            }
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
