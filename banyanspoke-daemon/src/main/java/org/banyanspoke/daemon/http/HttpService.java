package org.banyanspoke.daemon.http;

import com.google.common.net.HostAndPort;
import io.vertx.core.AbstractVerticle;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.kernel.Service;
import org.banyanspoke.settings.Settings;

/** An HTTP server on one port with its own router. */
public final class HttpService implements Service {
    private static final long DEPLOYMENT_TIMEOUT_SECONDS = 10;

    /**
     * Sending a large response to a slow client may take seconds; a client that stopped reading must not block the
     * stop.
     */
    private static final long RESPONSE_TIMEOUT_MILLIS = 10_000;

    private static final long POLL_INTERVAL_MILLIS = 10;

    /** Connections are closed at most this fraction of the shorter timeout late. */
    private static final int SWEEPS_PER_TIMEOUT = 4;

    private final Vertx vertx;
    private final Options options;
    private final Consumer<RouteRegistrar> routes;
    private final BodyBudget bodyBudget;
    private final Consumer<ErrorKind> onError;
    private final AtomicInteger inProgress = new AtomicInteger();
    private volatile int port;
    private String deploymentId;

    /**
     * Address, event loops and limits of a port.
     *
     * @param address listening address; port 0 selects a free port and requires a single event loop
     * @param eventLoops number of event loops that parse requests and write responses
     * @param maxBodyBytes largest accepted request body, in bytes
     * @param bodyTimeoutMillis timeout for reading a request body, in milliseconds
     * @param headTimeoutMillis timeout from opening a connection to the end of its first request head,
     *     in milliseconds
     * @param idleTimeoutMillis timeout from the end of a response to the end of the next request head,
     *     in milliseconds
     */
    public record Options(
            HostAndPort address,
            int eventLoops,
            int maxBodyBytes,
            long bodyTimeoutMillis,
            long headTimeoutMillis,
            long idleTimeoutMillis) {
        /** Returns options with the limits of the callers' port and the given address. */
        static Options of(HostAndPort address, int eventLoops, Settings.Callers limits) {
            return new Options(
                    address,
                    eventLoops,
                    limits.maxBodyBytes(),
                    limits.bodyTimeoutMillis(),
                    limits.headTimeoutMillis(),
                    limits.idleTimeoutMillis());
        }
    }

    HttpService(
            Vertx vertx,
            Options options,
            Consumer<RouteRegistrar> routes,
            BodyBudget bodyBudget,
            Consumer<ErrorKind> onError) {
        this.vertx = vertx;
        this.options = options;
        this.routes = routes;
        this.bodyBudget = bodyBudget;
        this.onError = onError;
    }

    @Override
    public void start(Kernel kernel) throws Exception {
        DeploymentOptions deployment = new DeploymentOptions().setInstances(options.eventLoops());
        deploymentId = vertx.deployVerticle(ServerVerticle::new, deployment)
                .toCompletionStage()
                .toCompletableFuture()
                .get(DEPLOYMENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void stop() throws Exception {
        vertx.undeploy(deploymentId)
                .toCompletionStage()
                .toCompletableFuture()
                .get(
                        DEPLOYMENT_TIMEOUT_SECONDS + TimeUnit.MILLISECONDS.toSeconds(RESPONSE_TIMEOUT_MILLIS),
                        TimeUnit.SECONDS);
    }

    /** Waits until every request has its complete response, for at most {@value #RESPONSE_TIMEOUT_MILLIS} ms. */
    public void awaitResponses() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESPONSE_TIMEOUT_MILLIS);
        while (inProgress.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return port;
    }

    /** Verticle that runs one server on one event loop; all instances share the port. */
    private final class ServerVerticle extends AbstractVerticle {
        private HttpServer server;

        @Override
        public void start(Promise<Void> started) {
            Router router = Router.router(vertx);
            ResponseWriter responses = new ResponseWriter(vertx, onError);
            BodyReader bodies = new BodyReader(vertx, options.maxBodyBytes(), options.bodyTimeoutMillis());
            IdleConnectionEvictor idleConnections = new IdleConnectionEvictor(
                    System::nanoTime, options.headTimeoutMillis(), options.idleTimeoutMillis());
            router.route().handler(context -> trackActivity(idleConnections, context));
            routes.accept(new RouteRegistrar(router, bodies, bodyBudget, responses, inProgress));
            HttpServerOptions serverOptions = new HttpServerOptions()
                    .setHost(options.address().getHost())
                    .setPort(options.address().getPort())
                    .setHttp2ClearTextEnabled(false)
                    .setHandle100ContinueAutomatically(true)
                    .setTcpNoDelay(true);
            long sweepMillis = Math.max(
                    1, Math.min(options.headTimeoutMillis(), options.idleTimeoutMillis()) / SWEEPS_PER_TIMEOUT);
            vertx.setPeriodic(sweepMillis, unused -> idleConnections.closeExpired());
            server = vertx.createHttpServer(serverOptions)
                    .connectionHandler(idleConnections::onOpened)
                    .requestHandler(router);
            server.listen()
                    .<Void>map(listening -> {
                        port = listening.actualPort();
                        return null;
                    })
                    .onComplete(started);
        }

        /** Stops accepting connections; requests already received are answered before their connections close. */
        @Override
        public void stop(Promise<Void> stopped) {
            server.shutdown(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).onComplete(stopped);
        }

        private static void trackActivity(IdleConnectionEvictor idleConnections, RoutingContext context) {
            HttpConnection connection = context.request().connection();
            idleConnections.onRequest(connection);
            context.addEndHandler(unused -> idleConnections.onResponse(connection));
            context.next();
        }
    }
}
