package org.banyanspoke.standins;

import io.vertx.core.Future;

/** Utilities for Vert.x futures. */
public final class VertxFutures {
    private VertxFutures() {}

    /** Ignores the failure of a write or close: the remote end has disconnected, which needs no action. */
    public static void ignoreFailure(Future<?> future) {
        future.onFailure(e -> {});
    }
}
