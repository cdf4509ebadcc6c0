package org.banyanspoke.standins.backend;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;
import org.banyanspoke.standins.VertxFutures;

/**
 * Simulated backend server that implements the protocol of docs/api.md. The result of a task is its task id unless the
 * payload specifies another. All state is confined to the event loop of the server.
 */
public final class BackendServer extends VerticleBase {
    private static final String TASKS_PATH = "/tasks/";

    private final String id;
    private final int port;
    private final Ledger ledger;
    private final TaskExecutor executor;
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Set<HttpConnection> silentConnections = new HashSet<>();
    private final List<Runnable> deferredActions = new ArrayList<>();
    private volatile ServerOptions options;
    private volatile ToLongFunction<HttpServerRequest> networkDelayMicros = request -> 0;
    private HttpServer server;
    private volatile int actualPort;
    private Context eventLoopContext;

    /**
     * @param id server id in the ledger
     * @param port listening port; 0 selects a free port
     * @param options initial properties and faults
     * @param ledger records task starts and finishes
     * @param random selects failing tasks and stragglers; must not be shared with other servers
     */
    public BackendServer(String id, int port, ServerOptions options, Ledger ledger, DoubleSupplier random) {
        this.id = id;
        this.port = port;
        this.options = options;
        this.ledger = ledger;
        executor = new TaskExecutor(
                id,
                ledger,
                () -> this.options,
                random,
                this::runWhenUnfrozen,
                silentConnections::contains,
                this::afterNetworkDelay);
    }

    @Override
    public Future<?> start() {
        eventLoopContext = context;
        executor.setVertx(vertx);
        return listen(port);
    }

    /** Returns the listening port. */
    public int port() {
        return actualPort;
    }

    public String id() {
        return id;
    }

    /** Returns the current options. */
    public ServerOptions options() {
        return options;
    }

    /**
     * Changes the options.
     *
     * @return completes with the new options once they are in effect
     */
    public Future<ServerOptions> change(UnaryOperator<ServerOptions> change) {
        Promise<ServerOptions> promise = Promise.promise();
        eventLoopContext.runOnContext(unused -> applyChange(change).onComplete(promise));
        return promise.future();
    }

    /**
     * Makes every currently open connection permanently unresponsive: its requests are dropped and no response is sent.
     *
     * @return completes with the number of unresponsive connections
     */
    public Future<Integer> silenceConnections() {
        Promise<Integer> promise = Promise.promise();
        eventLoopContext.runOnContext(unused -> {
            silentConnections.addAll(connections);
            promise.complete(silentConnections.size());
        });
        return promise.future();
    }

    private Future<ServerOptions> applyChange(UnaryOperator<ServerOptions> change) {
        ServerOptions before = options;
        options = change.apply(before);
        if (before.frozen() && !options.frozen()) {
            unfreeze();
        }
        if (!before.down() && options.down()) {
            return shutDown().map(options);
        }
        if (before.down() && !options.down()) {
            return listen(actualPort).map(options);
        }
        return Future.succeededFuture(options);
    }

    private Future<?> listen(int listeningPort) {
        executor.renewIncarnation();
        server = vertx.createHttpServer(
                        new HttpServerOptions().setHttp2ClearTextEnabled(false).setAcceptBacklog(1_024))
                .connectionHandler(this::acceptConnection)
                .requestHandler(this::receive);
        return server.listen(listeningPort, "127.0.0.1").onSuccess(s -> actualPort = s.actualPort());
    }

    private Future<?> shutDown() {
        executor.dropAll();
        deferredActions.clear();
        for (HttpConnection connection : List.copyOf(connections)) {
            VertxFutures.ignoreFailure(connection.close());
        }
        return server.close();
    }

    private void acceptConnection(HttpConnection connection) {
        if (connections.size() >= options.connections()) {
            VertxFutures.ignoreFailure(connection.close());
            return;
        }
        connections.add(connection);
        connection.closeHandler(closed -> {
            connections.remove(connection);
            silentConnections.remove(connection);
        });
    }

    private void receive(HttpServerRequest request) {
        request.body()
                .onSuccess(body ->
                        afterNetworkDelay(request, () -> runWhenUnfrozen(() -> dispatch(request, body.toString()))));
    }

    /** Sets the function that gives the one-way network delay of a request and of its response, in microseconds. */
    void setNetworkDelay(ToLongFunction<HttpServerRequest> micros) {
        networkDelayMicros = micros;
    }

    private void afterNetworkDelay(HttpServerRequest request, Runnable action) {
        long micros = networkDelayMicros.applyAsLong(request);
        if (micros == 0) {
            action.run();
        } else {
            vertx.timer(micros, TimeUnit.MICROSECONDS).onSuccess(unused -> action.run());
        }
    }

    /** Runs an action immediately, or defers it until the server is unfrozen. */
    private void runWhenUnfrozen(Runnable action) {
        if (options.frozen()) {
            deferredActions.add(action);
        } else {
            action.run();
        }
    }

    private void unfreeze() {
        List<Runnable> actions = List.copyOf(deferredActions);
        deferredActions.clear();
        actions.forEach(Runnable::run);
    }

    private void dispatch(HttpServerRequest request, String body) {
        if (silentConnections.contains(request.connection())) {
            return;
        }
        String path = request.path();
        if (path.startsWith(TASKS_PATH) && request.method().equals(HttpMethod.POST)) {
            executor.submit(request, path.substring(TASKS_PATH.length()), body);
        } else if (path.startsWith(TASKS_PATH) && request.method().equals(HttpMethod.DELETE)) {
            ledger.countRequest(Ledger.RequestKind.STOP);
            executor.stop(path.substring(TASKS_PATH.length()));
            VertxFutures.ignoreFailure(request.response().setStatusCode(204).end());
        } else if (path.equals("/health")) {
            ledger.countRequest(Ledger.RequestKind.HEALTH);
            VertxFutures.ignoreFailure(
                    executor.addServerHeaders(request.response()).end());
        } else {
            VertxFutures.ignoreFailure(request.response().setStatusCode(404).end());
        }
    }
}
