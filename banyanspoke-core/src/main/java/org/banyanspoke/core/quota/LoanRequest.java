package org.banyanspoke.core.quota;

import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Asks a peer to lend quota, or to extend a loan.
 *
 * @param borrower the sender
 * @param lender the receiver
 * @param requestId identifies the loan, random so that it is unique over restarts of the borrower, and the renewal in
 *     the lowest 16 bits, 0 for the first request
 * @param configNumber configuration from which the borrower's share was computed
 * @param wanted amounts by team
 */
public record LoanRequest(
        HostId borrower, HostId lender, long requestId, long configNumber, Map<TeamId, QuotaAmount> wanted) {
    private static final long RENEWAL_MASK = 0xFFFF;

    /** Copies the map. */
    public LoanRequest {
        wanted = Map.copyOf(wanted);
    }

    /** Returns the id of the first request for a loan. */
    public static long newLoan(long random) {
        return loanOf(random);
    }

    /** Returns the part of a request's id that identifies the loan. */
    public static long loanOf(long requestId) {
        return requestId & ~RENEWAL_MASK;
    }

    /** Returns the id of a request that extends the loan of another one. Numbers repeat after 65,535 renewals. */
    public static long renewalOf(long requestId, int renewal) {
        return loanOf(requestId) | (1 + Math.floorMod(renewal, RENEWAL_MASK));
    }

    /** Returns whether this asks to extend a loan. */
    public boolean isRenewal() {
        return requestId != loanOf(requestId);
    }
}
