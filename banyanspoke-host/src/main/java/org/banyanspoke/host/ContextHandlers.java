package org.banyanspoke.host;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import org.banyanspoke.peer.PeerHandler;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.Frame;

/** Runs handlers of peer requests on a context. */
final class ContextHandlers {
    private ContextHandlers() {}

    /** Returns the reply to a request. An unchecked exception is reported to the peer as a failure. */
    @FunctionalInterface
    interface Handler {
        Frame.Builder handle(PeerIdentity from, Frame request);
    }

    /** Returns a handler that runs on a context and always replies. */
    static PeerHandler runOn(Context context, Handler handler) {
        return (from, request) -> Single.create(emitter -> context.runOnContext(unused -> {
            try {
                emitter.onSuccess(handler.handle(from, request));
            } catch (RuntimeException e) {
                emitter.tryOnError(e);
            }
        }));
    }
}
