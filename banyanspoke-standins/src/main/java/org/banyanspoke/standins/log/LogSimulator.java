package org.banyanspoke.standins.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.util.concurrent.RateLimiter;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.standins.ControlServer;
import org.banyanspoke.standins.Options;
import org.banyanspoke.standins.VertxFutures;

/**
 * Simulator of the platform's append-only log.
 *
 * <p>Control routes: {@code GET /options}, {@code POST /options} with the fields of {@link LogOptions} to change,
 * {@code GET /counts}.
 */
public final class LogSimulator extends VerticleBase {
    private static final int DEFAULT_PAGE_RECORDS = 1_000;

    /** Log record in the response to a read. */
    private record Entry(long offset, JsonNode body) {}

    private record Page(long firstOffset, long nextOffset, List<Entry> records) {}

    private record Range(long firstOffset, long nextOffset) {}

    private record Appended(long offset) {}

    private record Message(String message) {}

    /**
     * Counters of received requests and sent bytes.
     *
     * @param appends append requests
     * @param reads read requests
     * @param readBytes bytes sent in the response bodies of reads
     */
    public record Counts(long appends, long reads, long readBytes) {}

    private final int port;
    private final int controlPort;
    private final RecordStore<JsonNode> store = new RecordStore<>();
    private LogOptions options;
    private RateLimiter appendLimiter;
    private long appends;
    private long reads;
    private long readBytes;
    private HttpServer server;
    private ControlServer control;

    /**
     * @param options initial limits and faults
     * @param port listening port of the log; 0 selects a free port
     * @param controlPort port of the control API; 0 selects a free port
     */
    public LogSimulator(LogOptions options, int port, int controlPort) {
        this.port = port;
        this.controlPort = controlPort;
        this.options = options;
        appendLimiter = RateLimiter.create(options.appendsPerSecond());
    }

    @Override
    public Future<?> start() {
        control = new ControlServer(vertx)
                .get("/options", query -> options)
                .get("/counts", query -> new Counts(appends, reads, readBytes))
                .post("/options", (query, body) -> changeOptions(body));
        server = vertx.createHttpServer().requestHandler(this::handleRequest);
        return server.listen(port, "127.0.0.1").compose(listening -> control.start(controlPort));
    }

    /** Returns the listening port of the log. */
    public int port() {
        return server.actualPort();
    }

    /** Returns the port of the control API. */
    public int controlPort() {
        return control.port();
    }

    private Future<LogOptions> changeOptions(JsonNode patch) throws JsonProcessingException {
        options = Options.patch(options, patch, LogOptions.class);
        appendLimiter = RateLimiter.create(options.appendsPerSecond());
        return Future.succeededFuture(options);
    }

    private void handleRequest(HttpServerRequest request) {
        boolean append = request.method().equals(HttpMethod.POST);
        if (append) {
            appends++;
        } else {
            reads++;
            request.response().endHandler(end -> readBytes += request.response().bytesWritten());
        }
        switch (options.outage()) {
            case NONE -> serve(request, append);
            case REFUSE -> ControlServer.respond(request, 503, new Message("simulated outage"));
            case CLOSE -> VertxFutures.ignoreFailure(request.connection().close());
            case SILENT -> request.pause();
        }
    }

    private void serve(HttpServerRequest request, boolean append) {
        if (!"/records".equals(request.path())) {
            ControlServer.respond(request, 404, new Message("unknown path " + request.path()));
        } else if (append) {
            request.body().onSuccess(body -> append(request, body.toString()));
        } else {
            runAfter(options.slowMillis(), () -> read(request));
        }
    }

    private void append(HttpServerRequest request, String text) {
        JsonNode body;
        try {
            body = Json.mapper().readTree(text);
        } catch (JsonProcessingException e) {
            ControlServer.respond(request, 400, new Message(e.getOriginalMessage()));
            return;
        }
        if (!appendLimiter.tryAcquire()) {
            request.response().putHeader("Retry-After", "1");
            ControlServer.respond(
                    request, 429, new Message("append rate exceeds " + options.appendsPerSecond() + " per second"));
            return;
        }
        runAfter(options.syncMillis() + options.slowMillis(), () -> storeRecord(request, body));
    }

    private void storeRecord(HttpServerRequest request, JsonNode body) {
        long offset = store.append(body, nowMillis());
        if (options.loseAnswers() > 0) {
            options = decrementLoseAnswers(options);
            VertxFutures.ignoreFailure(request.connection().close());
            return;
        }
        ControlServer.respond(request, 201, new Appended(offset));
    }

    private static LogOptions decrementLoseAnswers(LogOptions current) {
        return new LogOptions(
                current.syncMillis(),
                current.appendsPerSecond(),
                current.keepRecords(),
                current.keepMillis(),
                current.outage(),
                current.loseAnswers() - 1,
                current.slowMillis());
    }

    private void read(HttpServerRequest request) {
        store.expire(options.keepRecords(), nowMillis() - options.keepMillis());
        long from;
        int max;
        try {
            from = Long.parseLong(request.getParam("from", "0"));
            max = Integer.parseInt(request.getParam("max", String.valueOf(DEFAULT_PAGE_RECORDS)));
        } catch (NumberFormatException e) {
            ControlServer.respond(request, 400, new Message("from and max must be integers: " + e.getMessage()));
            return;
        }
        if (from < store.firstOffset()) {
            ControlServer.respond(request, 410, new Range(store.firstOffset(), store.nextOffset()));
            return;
        }
        ControlServer.respond(request, 200, page(from, max));
    }

    /** Returns at most {@code max} records; {@code nextOffset} is the offset of the next page. */
    private Page page(long from, int max) {
        List<Entry> entries = new ArrayList<>();
        long end = Math.min(store.nextOffset(), from + max);
        for (long offset = from; offset < end; offset++) {
            entries.add(new Entry(offset, store.get(offset)));
        }
        return new Page(store.firstOffset(), Math.max(from, end), entries);
    }

    private void runAfter(long delayMillis, Runnable action) {
        if (delayMillis <= 0) {
            action.run();
        } else {
            vertx.setTimer(delayMillis, timer -> action.run());
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
