package org.banyanspoke.standins;

import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Blocking deployment of verticles, for use outside event loop threads. */
public final class Deployments {
    private static final long TIMEOUT_SECONDS = 20;

    private Deployments() {}

    /**
     * Deploys a verticle and waits until its start is complete.
     *
     * @throws IOException if the start fails, for example because a port is in use, or takes more than 20 s
     */
    public static <T extends Deployable> T start(Vertx vertx, T verticle) throws IOException, InterruptedException {
        await(vertx.deployVerticle(verticle));
        return verticle;
    }

    /**
     * Waits for a result. Must not be called on an event loop thread.
     *
     * @throws IOException if the future fails or takes more than 20 s
     */
    public static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("operation not complete after " + TIMEOUT_SECONDS + " s", e);
        }
    }
}
