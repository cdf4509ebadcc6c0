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

/** One listening port with its own router. */
public final class HttpService implements Service {
    private static final long TIMEOUT_SECONDS = 10;

    /** A large response to a slow caller may take seconds; a caller that stopped reading must not block the stop. */
    private static final long ANSWERS_TIMEOUT_MILLIS = 10_000;

    private static final long POLL_MILLIS = 10;

    /** A timeout takes effect at most this part of it late. */
    private static final int SWEEPS_PER_TIMEOUT = 4;

    private final Vertx vertx;
    private final Options options;
    private final Consumer<RouteTable> routes;
    private final BodyBudget bodyBudget;
    private final Consumer<ErrorKind> onError;
    private final AtomicInteger inProgress = new AtomicInteger();
    private volatile int port;
    private String deploymentId;

    /**
     * Limits of a port.
     *
     * @param address where it listens; port 0 takes a free port and needs one event loop
     * @param eventLoops event loops that parse requests and write responses
     * @param maxBodyBytes largest request body
     * @param bodyTimeoutMillis time for a request body, in milliseconds
     * @param headTimeoutMillis time from the opening of a connection to the end of its first request head, in milliseconds
     * @param idleTimeoutMillis time from a response to the end of the next request head, in milliseconds
     */
    public record Options(
            HostAndPort address,
            int eventLoops,
            int maxBodyBytes,
            long bodyTimeoutMillis,
            long headTimeoutMillis,
            long idleTimeoutMillis) {
        /** Returns the limits of the callers' port at another address. */
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
            Consumer<RouteTable> routes,
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
        deploymentId = vertx.deployVerticle(Listener::new, deployment)
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void stop() throws Exception {
        vertx.undeploy(deploymentId)
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS + TimeUnit.MILLISECONDS.toSeconds(ANSWERS_TIMEOUT_MILLIS), TimeUnit.SECONDS);
    }

    /** Waits until every request has its complete response, at most {@value #ANSWERS_TIMEOUT_MILLIS} ms. */
    public void awaitAnswers() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWERS_TIMEOUT_MILLIS);
        while (inProgress.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns the port it listens on. */
    public int port() {
        return port;
    }

    /** One server on one event loop; all of them share the port. */
    private final class Listener extends AbstractVerticle {
        private HttpServer server;

        @Override
        public void start(Promise<Void> started) {
            Router router = Router.router(vertx);
            AnswerWriter answers = new AnswerWriter(vertx, onError);
            BodyReader bodies = new BodyReader(vertx, options.maxBodyBytes(), options.bodyTimeoutMillis());
            IdleConnections connections =
                    new IdleConnections(System::nanoTime, options.headTimeoutMillis(), options.idleTimeoutMillis());
            router.route().handler(context -> watch(connections, context));
            routes.accept(new RouteTable(router, bodies, bodyBudget, answers, inProgress));
            HttpServerOptions serverOptions = new HttpServerOptions()
                    .setHost(options.address().getHost())
                    .setPort(options.address().getPort())
                    .setHttp2ClearTextEnabled(false)
                    .setHandle100ContinueAutomatically(true)
                    .setTcpNoDelay(true);
            long sweepMillis = Math.max(
                    1, Math.min(options.headTimeoutMillis(), options.idleTimeoutMillis()) / SWEEPS_PER_TIMEOUT);
            vertx.setPeriodic(sweepMillis, unused -> connections.closeOverdue());
            server = vertx.createHttpServer(serverOptions)
                    .connectionHandler(connections::onOpened)
                    .requestHandler(router);
            server.listen()
                    .<Void>map(listening -> {
                        port = listening.actualPort();
                        return null;
                    })
                    .onComplete(started);
        }

        /** Takes no further connection; requests that have been read get their responses before their connections close. */
        @Override
        public void stop(Promise<Void> stopped) {
            server.shutdown(ANSWERS_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).onComplete(stopped);
        }

        private static void watch(IdleConnections connections, RoutingContext context) {
            HttpConnection connection = context.request().connection();
            connections.onRequest(connection);
            context.addEndHandler(unused -> connections.onResponse(connection));
            context.next();
        }
    }
}
