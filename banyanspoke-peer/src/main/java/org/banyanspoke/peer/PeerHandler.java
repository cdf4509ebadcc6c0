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
     * @return the reply; its id is set by the transport. An error is sent as a {@code Failure} reply.
     */
    Single<Frame.Builder> handle(PeerIdentity from, Frame request);

    /** Returns whether the reply {@link Single} is disposed when the connection of the request closes. */
    default boolean isCancelledOnDisconnect() {
        return false;
    }

    /** Returns a handler whose pending requests are cancelled when their connection closes. */
    static PeerHandler cancelledOnDisconnect(PeerHandler handler) {
        return new PeerHandler() {
            @Override
            public Single<Frame.Builder> handle(PeerIdentity from, Frame request) {
                return handler.handle(from, request);
            }

            @Override
            public boolean isCancelledOnDisconnect() {
                return true;
            }
        };
    }
}
