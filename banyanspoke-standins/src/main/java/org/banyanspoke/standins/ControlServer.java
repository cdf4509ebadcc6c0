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

/** HTTP server for the control API of a simulator, which reads its state and injects faults. */
public final class ControlServer {
    /** Handler of a control request that changes the simulator. */
    @FunctionalInterface
    public interface Change {
        /**
         * Applies the change.
         *
         * @param query the query parameters
         * @param body the request body
         * @return completes with the response body once the change is in effect
         * @throws JsonProcessingException if the body does not match the expected type
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

    /** Adds a GET route. */
    public ControlServer get(String path, Function<MultiMap, Object> reader) {
        router.get(path).handler(context -> respond(context, 200, reader.apply(context.queryParams())));
        return this;
    }

    /** Adds a POST route. An invalid body is answered with 400, a failed change with 500. */
    public ControlServer post(String path, Change change) {
        router.post(path).handler(context -> applyChange(context, change));
        return this;
    }

    /**
     * Starts to listen on the loopback address.
     *
     * @param port listening port; 0 selects a free port
     */
    public Future<HttpServer> start(int port) {
        return server.requestHandler(router).listen(port, "127.0.0.1");
    }

    /** Returns the listening port. */
    public int port() {
        return server.actualPort();
    }

    private static void applyChange(RoutingContext context, Change change) {
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

    /** Sends a response with a JSON body. */
    public static void respond(HttpServerRequest request, int status, Object body) {
        String text;
        try {
            text = Json.mapper().writeValueAsString(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize " + body.getClass(), e);
        }
        VertxFutures.ignoreFailure(request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(text));
    }

    private record Message(String message) {}
}
