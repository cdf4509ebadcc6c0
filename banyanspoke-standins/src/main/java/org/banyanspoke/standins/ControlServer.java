package org.banyanspoke.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.function.Function;
import org.banyanspoke.api.json.Json;

/** The control port of a stand-in: JSON requests that read its state and set its faults. */
public final class ControlServer {
    /** Changes a stand-in. */
    @FunctionalInterface
    public interface Change {
        /**
         * Applies a request.
         *
         * @param query the query parameters
         * @param body the request body
         * @return the response body, when the change is in force
         * @throws JsonProcessingException if the body cannot be applied
         */
        Future<?> apply(MultiMap query, JsonNode body) throws JsonProcessingException;
    }

    private final HttpServer server;
    private final Router router;

    /** Creates a server without routes. */
    public ControlServer(Vertx vertx) {
        server = vertx.createHttpServer();
        router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
    }

    /** Adds a route that reads. */
    public ControlServer get(String path, Function<MultiMap, Object> read) {
        router.get(path).handler(context -> respond(context, 200, read.apply(context.queryParams())));
        return this;
    }

    /** Adds a route that changes something. A body that cannot be applied is answered with 400. */
    public ControlServer post(String path, Change change) {
        router.post(path).handler(context -> apply(context, change));
        return this;
    }

    /**
     * Listens on loopback.
     *
     * @param port the port; 0 for a free one
     */
    public Future<HttpServer> start(int port) {
        return server.requestHandler(router).listen(port, "127.0.0.1");
    }

    /** Returns the port in use. */
    public int port() {
        return server.actualPort();
    }

    private static void apply(RoutingContext context, Change change) {
        try {
            String text = context.body().asString();
            JsonNode body = Json.mapper().readTree(text == null || text.isEmpty() ? "{}" : text);
            change.apply(context.queryParams(), body)
                    .onSuccess(result -> respond(context, 200, result))
                    .onFailure(e -> respond(context, 500, new Message(e.toString())));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            respond(context, 400, new Message(e.getMessage()));
        }
    }

    private static void respond(RoutingContext context, int status, Object body) {
        respond(context.request(), status, body);
    }

    /** Responds with a JSON body. */
    public static void respond(HttpServerRequest request, int status, Object body) {
        String text;
        try {
            text = Json.mapper().writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + body.getClass(), e);
        }
        Exchanges.ignore(request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(text));
    }

    private record Message(String message) {}
}
