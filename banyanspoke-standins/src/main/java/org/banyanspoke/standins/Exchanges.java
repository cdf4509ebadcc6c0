package org.banyanspoke.standins;

import io.vertx.core.Future;

/** Helpers for exchanges whose other side may be gone. */
public final class Exchanges {
    private Exchanges() {}

    /** Leaves a write or close without a listener: its failure means that the peer has gone, which needs no action. */
    public static void ignore(Future<?> future) {
        future.onFailure(e -> {});
    }
}
