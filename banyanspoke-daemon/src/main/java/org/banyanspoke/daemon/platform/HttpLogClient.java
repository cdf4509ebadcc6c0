package org.banyanspoke.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;
import io.vertx.rxjava3.core.Vertx;
import java.util.Map;
import org.banyanspoke.daemon.platform.internal.HttpReply;
import org.banyanspoke.daemon.platform.internal.PlatformHttp;

/** {@link LogClient} over HTTP. Results arrive on a Vert.x thread. */
public final class HttpLogClient implements LogClient {
    /** A page with a snapshot is about 0.5 MB at the design size. */
    private static final long TIMEOUT_MILLIS = 2_000;

    private final PlatformHttp http;

    /**
     * @param vertx runs the requests
     * @param address {@code ip:port} of the log
     */
    public HttpLogClient(Vertx vertx, String address) {
        this.http = new PlatformHttp(vertx, address, TIMEOUT_MILLIS);
    }

    @Override
    public Single<Long> append(JsonNode body) {
        return http.post("/records", body.toString())
                .flatMap(reply -> reply.status() == 201 ? reply.parse(Appended.class) : reply.fail())
                .map(Appended::offset);
    }

    @Override
    public Single<LogPage> read(long fromOffset, int maxRecords) {
        return http.get("/records?from=" + fromOffset + "&max=" + maxRecords, Map.of())
                .flatMap(HttpLogClient::toPage);
    }

    private static Single<LogPage> toPage(HttpReply reply) {
        return switch (reply.status()) {
            case 200 -> reply.parse(LogPage.class);
            case 410 ->
                reply.parse(LogPage.class)
                        .flatMap(page -> Single.error(new RecordsExpiredException(page.firstOffset())));
            default -> reply.fail();
        };
    }

    private record Appended(long offset) {}
}
