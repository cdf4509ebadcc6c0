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

    /** Returns whether the work on a request ends, by disposal of the reply, when the connection it came over has closed. */
    default boolean endsWithConnection() {
        return false;
    }

    /** Returns a handler whose work on a request is of no use once the sender can't get the reply any more. */
    static PeerHandler endingWithConnection(PeerHandler handler) {
        return new PeerHandler() {
            @Override
            public Single<Frame.Builder> handle(PeerIdentity from, Frame request) {
                return handler.handle(from, request);
            }

            @Override
            public boolean endsWithConnection() {
                return true;
            }
        };
    }
}
