package org.banyanspoke.core.quota;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;

/**
 * Lends and borrows team quota on behalf of one entry host. A pure state machine: the caller sends the messages.
 *
 * <p>Under one configuration number the shares of all hosts never sum to more than the quota, even if messages are
 * lost, delayed or duplicated, or hosts pause or restart. For the borrower a loan expires 5 s after it sent the
 * request; for the lender, which received that request later, it expires 6 s after the grant. The 1 s margin covers
 * clock rate differences. A new state machine doesn't know the loans granted before a restart; for 6 s it lends nothing
 * and uses only the portion of its share that is never lent.
 */
public interface QuotaLending {
    /**
     * Applies a configuration. A change of the configuration number ends borrowed loans immediately; lent loans run
     * until they expire.
     */
    void configure(ConfigState config);

    /**
     * Updates the recent use, requests a loan if a team's demand exceeds its share, and renews a loan that is still
     * needed and expires soon. Must be called once per second.
     *
     * @param demand demand by team
     * @param livePeers other entry hosts that are believed to be alive
     * @return the requests to send: at most one for a new loan and one renewal
     */
    List<LoanRequest> tick(Map<TeamId, TeamDemand> demand, List<HostId> livePeers);

    /**
     * Handles a request from a peer. The caller must apply {@link #shares} before it sends the grant.
     *
     * @return the grant to send, or empty if nothing can be lent
     */
    Optional<LoanGrant> onRequest(LoanRequest request);

    /** Handles a grant from a peer. Late, unknown and duplicate grants have no effect. */
    void onGrant(LoanGrant grant);

    /** Returns the current shares. The caller must apply them after every call of another method. */
    QuotaShares shares();
}
