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
import org.banyanspoke.standins.Exchanges;

/**
 * One backend server by the protocol of docs/api.md. The result of a task is its task id. All state belongs to the
 * server's event loop.
 */
public final class BackendServer extends VerticleBase {
    private static final String TASKS = "/tasks/";

    private final String id;
    private final int port;
    private final Ledger ledger;
    private final TaskExecutor executor;
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Set<HttpConnection> silent = new HashSet<>();
    private final List<Runnable> held = new ArrayList<>();
    private volatile ServerOptions options;
    private volatile ToLongFunction<HttpServerRequest> oneWayMicros = request -> 0;
    private HttpServer server;
    private volatile int actualPort;
    private Context owner;

    /**
     * @param id server id in the ledger
     * @param port listening port; 0 for a free one
     * @param options properties and faults at start
     * @param ledger records starts and finishes
     * @param random chooses errors and stragglers; used by this server only
     */
    public BackendServer(String id, int port, ServerOptions options, Ledger ledger, DoubleSupplier random) {
        this.id = id;
        this.port = port;
        this.options = options;
        this.ledger = ledger;
        executor = new TaskExecutor(
                id, ledger, () -> this.options, random, this::whenThawed, silent::contains, this::afterOneWay);
    }

    @Override
    public Future<?> start() {
        owner = context;
        executor.bind(vertx);
        return listen(port);
    }

    /** Returns the port in use. */
    public int port() {
        return actualPort;
    }

    /** Returns the server id. */
    public String id() {
        return id;
    }

    /** Returns the options in force. */
    public ServerOptions options() {
        return options;
    }

    /**
     * Changes the options.
     *
     * @return completes when they are in force
     */
    public Future<ServerOptions> change(UnaryOperator<ServerOptions> edit) {
        Promise<ServerOptions> promise = Promise.promise();
        owner.runOnContext(unused -> apply(edit).onComplete(promise));
        return promise.future();
    }

    /**
     * Makes every connection that is open now silent for good: its requests are dropped and nothing is written to it.
     *
     * @return completes with the number of connections
     */
    public Future<Integer> silenceConnections() {
        Promise<Integer> promise = Promise.promise();
        owner.runOnContext(unused -> {
            silent.addAll(connections);
            promise.complete(silent.size());
        });
        return promise.future();
    }

    private Future<ServerOptions> apply(UnaryOperator<ServerOptions> edit) {
        ServerOptions before = options;
        options = edit.apply(before);
        if (before.frozen() && !options.frozen()) {
            thaw();
        }
        if (!before.down() && options.down()) {
            return goDown().map(options);
        }
        if (before.down() && !options.down()) {
            return listen(actualPort).map(options);
        }
        return Future.succeededFuture(options);
    }

    private Future<?> listen(int listeningPort) {
        executor.renew();
        server = vertx.createHttpServer(
                        new HttpServerOptions().setHttp2ClearTextEnabled(false).setAcceptBacklog(1_024))
                .connectionHandler(this::accept)
                .requestHandler(this::receive);
        return server.listen(listeningPort, "127.0.0.1").onSuccess(s -> actualPort = s.actualPort());
    }

    private Future<?> goDown() {
        executor.dropAll();
        held.clear();
        for (HttpConnection connection : List.copyOf(connections)) {
            Exchanges.ignore(connection.close());
        }
        return server.close();
    }

    private void accept(HttpConnection connection) {
        if (connections.size() >= options.connections()) {
            Exchanges.ignore(connection.close());
            return;
        }
        connections.add(connection);
        connection.closeHandler(closed -> {
            connections.remove(connection);
            silent.remove(connection);
        });
    }

    private void receive(HttpServerRequest request) {
        request.body()
                .onSuccess(body -> afterOneWay(request, () -> whenThawed(() -> dispatch(request, body.toString()))));
    }

    /** Sets the one-way network delay of requests and their responses, in microseconds by request. */
    void delay(ToLongFunction<HttpServerRequest> micros) {
        oneWayMicros = micros;
    }

    private void afterOneWay(HttpServerRequest request, Runnable action) {
        long micros = oneWayMicros.applyAsLong(request);
        if (micros == 0) {
            action.run();
        } else {
            vertx.timer(micros, TimeUnit.MICROSECONDS).onSuccess(unused -> action.run());
        }
    }

    /** Runs an action now, or when the server is no longer frozen. */
    private void whenThawed(Runnable action) {
        if (options.frozen()) {
            held.add(action);
        } else {
            action.run();
        }
    }

    private void thaw() {
        List<Runnable> actions = List.copyOf(held);
        held.clear();
        actions.forEach(Runnable::run);
    }

    private void dispatch(HttpServerRequest request, String body) {
        if (silent.contains(request.connection())) {
            return;
        }
        String path = request.path();
        if (path.startsWith(TASKS) && request.method().equals(HttpMethod.POST)) {
            executor.submit(request, path.substring(TASKS.length()), body);
        } else if (path.startsWith(TASKS) && request.method().equals(HttpMethod.DELETE)) {
            ledger.received(Ledger.RequestKind.STOP);
            executor.stop(path.substring(TASKS.length()));
            Exchanges.ignore(request.response().setStatusCode(204).end());
        } else if (path.equals("/health")) {
            ledger.received(Ledger.RequestKind.HEALTH);
            Exchanges.ignore(executor.describe(request.response()).end());
        } else {
            Exchanges.ignore(request.response().setStatusCode(404).end());
        }
    }
}
