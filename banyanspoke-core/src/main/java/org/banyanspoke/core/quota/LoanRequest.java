package org.banyanspoke.core.quota;

import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Requests a quota loan, or the renewal of one, from a peer.
 *
 * @param borrower host that sends the request
 * @param lender host that receives the request
 * @param requestId loan id in the upper 48 bits, random so that it is unique across restarts of the borrower, and
 *     renewal number in the lower 16 bits, 0 for the initial request
 * @param configNumber number of the configuration from which the borrower's share was computed
 * @param wanted requested amounts by team
 */
public record LoanRequest(
        HostId borrower, HostId lender, long requestId, long configNumber, Map<TeamId, QuotaAmount> wanted) {
    private static final long RENEWAL_MASK = 0xFFFF;

    /** Makes a defensive copy of the map. */
    public LoanRequest {
        wanted = Map.copyOf(wanted);
    }

    /** Returns the id of the initial request for a loan, built from a random number. */
    public static long newLoanId(long random) {
        return loanIdOf(random);
    }

    /** Returns the loan id contained in a request id. */
    public static long loanIdOf(long requestId) {
        return requestId & ~RENEWAL_MASK;
    }

    /** Returns the id of a request that renews a loan. Renewal numbers wrap around after 65,535 renewals. */
    public static long renewalIdOf(long requestId, int renewal) {
        return loanIdOf(requestId) | (1 + Math.floorMod(renewal, RENEWAL_MASK));
    }

    /** Returns whether this request renews an existing loan. */
    public boolean isRenewal() {
        return requestId != loanIdOf(requestId);
    }
}
