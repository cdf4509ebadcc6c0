package org.banyanspoke.core.quota;

import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Asks a peer to lend quota.
 *
 * @param borrower the sender
 * @param lender the receiver
 * @param requestId random, so that it is unique over restarts of the borrower
 * @param configNumber configuration from which the borrower's share was computed
 * @param wanted amounts by team
 */
public record LoanRequest(
        HostId borrower, HostId lender, long requestId, long configNumber, Map<TeamId, QuotaAmount> wanted) {
    /** Copies the map. */
    public LoanRequest {
        wanted = Map.copyOf(wanted);
    }
}
