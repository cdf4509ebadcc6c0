package org.banyanspoke.core.quota;

import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Grants a {@link LoanRequest}. The loan ends when it expires; no message returns it.
 *
 * @param borrower host that receives the grant
 * @param lender host that sends the grant
 * @param requestId id of the granted request
 * @param configNumber number of the configuration from which the lender's share was computed
 * @param granted amounts lent, by team; teams without a loan are absent
 */
public record LoanGrant(
        HostId borrower, HostId lender, long requestId, long configNumber, Map<TeamId, QuotaAmount> granted) {
    /** Makes a defensive copy of the map. */
    public LoanGrant {
        granted = Map.copyOf(granted);
    }
}
