package org.banyanspoke.standins.hostlist;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.standins.ControlServer;
import org.banyanspoke.standins.Options;
import org.banyanspoke.standins.VertxFutures;

/**
 * Simulator of the platform's list of live and leaving hosts. Changes become visible after a configurable lag.
 *
 * <p>Control routes: {@code GET /options}, {@code POST /options} with the fields of {@link HostListOptions} to change,
 * {@code POST /hosts} with the complete new list {@code {"hosts": [...]}}, {@code GET /counts}.
 */
public final class HostListSimulator extends VerticleBase {
    private record View(List<ListedHost> hosts) {
        View {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * Counters of received requests.
     *
     * @param reads read requests
     * @param notModified read requests answered with 304
     */
    public record Counts(long reads, long notModified) {}

    private final int port;
    private final int controlPort;
    /** Versions of the list by the time at which they were set, in nanoseconds since creation of the simulator. */
    private final NavigableMap<Long, View> views = new TreeMap<>();

    private final long startNanos = System.nanoTime();
    private HostListOptions options;
    private long reads;
    private long notModified;
    private HttpServer server;
    private ControlServer control;

    /**
     * @param options initial faults
     * @param port listening port of the list; 0 selects a free port
     * @param controlPort port of the control API; 0 selects a free port
     */
    public HostListSimulator(HostListOptions options, int port, int controlPort) {
        this.options = options;
        this.port = port;
        this.controlPort = controlPort;
        views.put(Long.MIN_VALUE, new View(List.of()));
    }

    @Override
    public Future<?> start() {
        control = new ControlServer(vertx)
                .get("/options", query -> options)
                .get("/counts", query -> new Counts(reads, notModified))
                .post("/options", (query, body) -> changeOptions(body))
                .post("/hosts", (query, body) -> setHosts(body));
        server = vertx.createHttpServer().requestHandler(this::handleRequest);
        return server.listen(port, "127.0.0.1").compose(listening -> control.start(controlPort));
    }

    /** Returns the listening port of the list. */
    public int port() {
        return server.actualPort();
    }

    /** Returns the port of the control API. */
    public int controlPort() {
        return control.port();
    }

    private Future<HostListOptions> changeOptions(JsonNode patch) throws JsonProcessingException {
        options = Options.patch(options, patch, HostListOptions.class);
        return Future.succeededFuture(options);
    }

    private Future<View> setHosts(JsonNode body) throws JsonProcessingException {
        View view = Json.mapper().treeToValue(body, View.class);
        views.put(elapsedNanos(), view);
        return Future.succeededFuture(view);
    }

    private void handleRequest(HttpServerRequest request) {
        reads++;
        if (options.outage()) {
            VertxFutures.ignoreFailure(request.connection().close());
            return;
        }
        long viewNanos = elapsedNanos() - options.lagMillis() * 1_000_000;
        respond(request, views.floorEntry(viewNanos).getValue());
    }

    private void respond(HttpServerRequest request, View view) {
        if (options.entityTags()) {
            String entityTag = "\"" + Integer.toHexString(view.hashCode()) + "\"";
            request.response().putHeader("ETag", entityTag);
            if (entityTag.equals(request.getHeader("If-None-Match"))) {
                notModified++;
                VertxFutures.ignoreFailure(request.response().setStatusCode(304).end());
                return;
            }
        }
        ControlServer.respond(request, 200, view);
    }

    private long elapsedNanos() {
        return System.nanoTime() - startNanos;
    }
}
