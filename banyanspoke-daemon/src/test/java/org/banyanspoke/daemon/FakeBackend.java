package org.banyanspoke.daemon;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Fake backend server on loopback with a replaceable task handler. */
public final class FakeBackend implements AutoCloseable {
    /** Received requests as "METHOD path", in order of arrival. */
    public final List<String> requests = new CopyOnWriteArrayList<>();

    /** All connections that carried a request. */
    public final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

    /** Connections on which requests get no response. */
    public final Set<HttpConnection> silent = ConcurrentHashMap.newKeySet();

    /** Handles POST requests for tasks. */
    public volatile Handler<HttpServerRequest> onTask = FakeBackend::done;

    private final HttpServer server;

    public FakeBackend(Vertx vertx) throws Exception {
        server = vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
    }

    /** Returns {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + server.actualPort();
    }

    /** Responds that the task is done, with the task id as its result. */
    public static void done(HttpServerRequest request) {
        respond(request, 200, request.getHeader("Task-Attempt"));
    }

    /** Responds with the given status and attempt id. */
    public static void respond(HttpServerRequest request, int status, String attempt) {
        request.response()
                .setStatusCode(status)
                .putHeader("Task-Attempt", attempt)
                .putHeader("Server-Incarnation", "i1")
                .putHeader("Server-State", "in_service")
                .putHeader(
                        "endpoint-load-metrics",
                        "TEXT named_metrics.running=3, named_metrics.queued=1, named_metrics.slots=8")
                .end(request.getHeader("Task-Id"));
    }

    @Override
    public void close() throws Exception {
        server.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private void handle(HttpServerRequest request) {
        requests.add(request.method() + " " + request.path());
        connections.add(request.connection());
        if (silent.contains(request.connection())) {
            return;
        }
        switch (request.method().name()) {
            case "POST" -> request.endHandler(unused -> onTask.handle(request));
            case "DELETE" -> request.response().setStatusCode(204).end();
            default -> request.response().end();
        }
    }
}
