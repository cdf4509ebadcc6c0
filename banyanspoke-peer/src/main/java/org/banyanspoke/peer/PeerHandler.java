package org.banyanspoke.peer;

import io.reactivex.rxjava3.core.Single;
import org.banyanspoke.peer.generated.Frame;

/** Handles requests of one message type. Called on the transport's event loop; must not block. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a request.
     *
     * @param from the sender
     * @param request the request
     * @return the reply; its id is set by the transport. An error is reported to the sender as a failure.
     */
    Single<Frame.Builder> handle(PeerIdentity from, Frame request);
}
