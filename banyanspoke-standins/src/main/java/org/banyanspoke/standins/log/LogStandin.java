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
import org.banyanspoke.standins.Exchanges;
import org.banyanspoke.standins.Options;

/**
 * The platform's append-only log.
 *
 * <p>Control routes: {@code GET /options}, {@code POST /options} with the fields of {@link LogOptions} to change,
 * {@code GET /counts}.
 */
public final class LogStandin extends VerticleBase {
    private static final int DEFAULT_MAX_RECORDS = 1_000;

    /** A record as readers see it. */
    private record Entry(long offset, JsonNode body) {}

    private record Page(long firstOffset, long nextOffset, List<Entry> records) {}

    private record Range(long firstOffset, long nextOffset) {}

    private record Appended(long offset) {}

    private record Message(String message) {}

    /**
     * Requests received and bytes sent.
     *
     * @param appends append requests
     * @param reads read requests
     * @param readBytes bytes of the bodies of responses to reads
     */
    public record Counts(long appends, long reads, long readBytes) {}

    private final int port;
    private final int controlPort;
    private final RecordStore<JsonNode> store = new RecordStore<>();
    private LogOptions options;
    private RateLimiter limiter;
    private long appends;
    private long reads;
    private long readBytes;
    private HttpServer server;
    private ControlServer control;

    /**
     * @param options limits and faults at start
     * @param port port of the log; 0 for a free one
     * @param controlPort port of the control routes; 0 for a free one
     */
    public LogStandin(LogOptions options, int port, int controlPort) {
        this.port = port;
        this.controlPort = controlPort;
        this.options = options;
        limiter = RateLimiter.create(options.appendsPerSecond());
    }

    @Override
    public Future<?> start() {
        control = new ControlServer(vertx)
                .get("/options", query -> options)
                .get("/counts", query -> new Counts(appends, reads, readBytes))
                .post("/options", (query, body) -> change(body));
        server = vertx.createHttpServer().requestHandler(this::handle);
        return server.listen(port, "127.0.0.1").compose(listening -> control.start(controlPort));
    }

    /** Returns the port of the log. */
    public int port() {
        return server.actualPort();
    }

    /** Returns the port of the control routes. */
    public int controlPort() {
        return control.port();
    }

    private Future<LogOptions> change(JsonNode patch) throws JsonProcessingException {
        options = Options.patch(options, patch, LogOptions.class);
        limiter = RateLimiter.create(options.appendsPerSecond());
        return Future.succeededFuture(options);
    }

    private void handle(HttpServerRequest request) {
        boolean append = request.method().equals(HttpMethod.POST);
        if (append) {
            appends++;
        } else {
            reads++;
            request.response().endHandler(end -> readBytes += request.response().bytesWritten());
        }
        switch (options.outage()) {
            case NONE -> serve(request, append);
            case REFUSE -> ControlServer.respond(request, 503, new Message("outage"));
            case CLOSE -> Exchanges.ignore(request.connection().close());
            case SILENT -> request.pause();
        }
    }

    private void serve(HttpServerRequest request, boolean append) {
        if (!"/records".equals(request.path())) {
            ControlServer.respond(request, 404, new Message("no route " + request.path()));
        } else if (append) {
            request.body().onSuccess(body -> append(request, body.toString()));
        } else {
            later(options.slowMillis(), () -> read(request));
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
        if (!limiter.tryAcquire()) {
            request.response().putHeader("Retry-After", "1");
            ControlServer.respond(request, 429, new Message("over " + options.appendsPerSecond() + " appends/s"));
            return;
        }
        later(options.syncMillis() + options.slowMillis(), () -> apply(request, body));
    }

    private void apply(HttpServerRequest request, JsonNode body) {
        long offset = store.append(body, nowMillis());
        if (options.loseAnswers() > 0) {
            options = loseOneLess(options);
            Exchanges.ignore(request.connection().close());
            return;
        }
        ControlServer.respond(request, 201, new Appended(offset));
    }

    private static LogOptions loseOneLess(LogOptions o) {
        return new LogOptions(
                o.syncMillis(),
                o.appendsPerSecond(),
                o.keepRecords(),
                o.keepMillis(),
                o.outage(),
                o.loseAnswers() - 1,
                o.slowMillis());
    }

    private void read(HttpServerRequest request) {
        store.expire(options.keepRecords(), nowMillis() - options.keepMillis());
        long from;
        int max;
        try {
            from = Long.parseLong(request.getParam("from", "0"));
            max = Integer.parseInt(request.getParam("max", String.valueOf(DEFAULT_MAX_RECORDS)));
        } catch (NumberFormatException e) {
            ControlServer.respond(request, 400, new Message("from and max are numbers: " + e.getMessage()));
            return;
        }
        if (from < store.firstOffset()) {
            ControlServer.respond(request, 410, new Range(store.firstOffset(), store.nextOffset()));
            return;
        }
        ControlServer.respond(request, 200, page(from, max));
    }

    /** A page ends at {@code max} records; its nextOffset is where the reader continues. */
    private Page page(long from, int max) {
        List<Entry> entries = new ArrayList<>();
        long end = Math.min(store.nextOffset(), from + max);
        for (long offset = from; offset < end; offset++) {
            entries.add(new Entry(offset, store.get(offset)));
        }
        return new Page(store.firstOffset(), Math.max(from, end), entries);
    }

    private void later(long delayMillis, Runnable action) {
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
