package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import java.util.Map;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.quota.QuotaShares;

/**
 * Operations of this process's dispatch service that the control plane uses. Called on the control thread or the peer
 * transport's event loop; must not block.
 */
public interface LocalDispatch {
    /**
     * Handles a request that another entry host forwarded for a job of this process. Errors of the job are replies with
     * the HTTP status of their kind; the result fails only on an internal error of this process.
     */
    Single<ForwardReply> handle(ForwardRequest request);

    /** Applies quota shares; completes once no further task can start under the previous shares. */
    Completable applyShares(QuotaShares shares);

    /** Returns the recent demand of each team. */
    Single<Map<TeamId, TeamDemand>> demand();
}
