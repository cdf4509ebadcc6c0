package org.banyanspoke.core.quota;

import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Answers a {@link LoanRequest}. The loan is repaid by lapse; there is no further message.
 *
 * @param borrower the receiver
 * @param lender the sender
 * @param requestId the request that is answered
 * @param configNumber configuration from which the lender's share was computed
 * @param granted amounts by team; teams for which nothing is lent are absent
 */
public record LoanGrant(
        HostId borrower, HostId lender, long requestId, long configNumber, Map<TeamId, QuotaAmount> granted) {
    /** Copies the map. */
    public LoanGrant {
        granted = Map.copyOf(granted);
    }
}
