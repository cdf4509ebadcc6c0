package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Map;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.quota.QuotaShares;

/**
 * What the control plane needs from the dispatch service of this process. Called on the control thread or the peer
 * transport's event loop; must not block.
 */
public interface LocalDispatch {
    /**
     * Handles a request that another entry host forwarded for a job of this process. Errors of the job are replies with
     * the status of their kind; a failed result says only that this process is faulty.
     */
    Single<ForwardReply> handle(ForwardRequest request);

    /** Puts quota shares in force; completes when no start under the previous shares can follow. */
    Completable putInForce(QuotaShares shares);

    /** Returns the recent demand of each team. */
    Single<Map<TeamId, TeamDemand>> demand();
}
