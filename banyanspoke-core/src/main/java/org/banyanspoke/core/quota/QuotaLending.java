package org.banyanspoke.core.quota;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;

/**
 * Lends and borrows parts of team quotas. A pure state machine of one host: it sends nothing itself.
 *
 * <p>For one configuration number the shares of all hosts never add up to more than the quota, also when messages are
 * lost, late or duplicated, or hosts pause or restart: a borrower's loan ends 5 s after it sent the request, and the lender,
 * who received that request later, counts the loan for 6 s from the grant. The second of difference covers clocks that
 * differ in rate. A new state machine has forgotten what its predecessor lent; for 6 s it lends nothing and counts only the
 * part of its share that is never lent.
 */
public interface QuotaLending {
    /** Takes over a configuration. Loans taken under another configuration number end at once; loans given stay. */
    void configure(ConfigState config);

    /**
     * Updates the recent use, asks for a loan if a team lacks share, and to extend one that lapses soon if it is needed.
     * Called once a second.
     *
     * @param demand demand by team
     * @param livePeers other entry hosts that are believed to be alive
     * @return the requests to send, at most one for a new loan and one for an extension
     */
    List<LoanRequest> tick(Map<TeamId, TeamDemand> demand, List<HostId> livePeers);

    /**
     * Handles a peer's request. The caller must put {@link #shares} in force before it sends the grant.
     *
     * @return the grant to send, or empty if nothing can be lent
     */
    Optional<LoanGrant> onRequest(LoanRequest request);

    /** Handles a peer's grant. Late, unknown and duplicate grants change nothing. */
    void onGrant(LoanGrant grant);

    /** Returns the present shares. To be put in force after every call of the other methods. */
    QuotaShares shares();
}
