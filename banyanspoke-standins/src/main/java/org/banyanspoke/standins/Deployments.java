package org.banyanspoke.standins;

import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Starts stand-ins from a thread that may block. */
public final class Deployments {
    private static final long START_LIMIT_SECONDS = 20;

    private Deployments() {}

    /**
     * Starts a stand-in and waits until it listens.
     *
     * @throws IOException if it cannot start, for example because a port is taken
     */
    public static <T extends Deployable> T start(Vertx vertx, T standin) throws IOException, InterruptedException {
        await(vertx.deployVerticle(standin));
        return standin;
    }

    /**
     * Waits for a result. Not for event loop threads.
     *
     * @throws IOException if the future fails or takes more than 20 s
     */
    public static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get(START_LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("no result after " + START_LIMIT_SECONDS + " s", e);
        }
    }
}
