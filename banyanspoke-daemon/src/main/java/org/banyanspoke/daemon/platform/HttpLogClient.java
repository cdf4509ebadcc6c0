package org.banyanspoke.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;
import io.vertx.rxjava3.core.Vertx;
import java.util.Map;
import org.banyanspoke.daemon.platform.internal.HttpReply;
import org.banyanspoke.daemon.platform.internal.PlatformHttpClient;

/** {@link LogClient} over HTTP. Results are emitted on a Vert.x thread. */
public final class HttpLogClient implements LogClient {
    /** Allows for a page that contains a snapshot, about 0.5 MB at the design size. */
    private static final long TIMEOUT_MILLIS = 2_000;

    private final PlatformHttpClient http;

    /**
     * @param vertx creates the HTTP client
     * @param address {@code ip:port} of the log service
     * @param traffic counts sent and received bytes
     */
    public HttpLogClient(Vertx vertx, String address, PlatformTraffic traffic) {
        this.http = new PlatformHttpClient(vertx, address, traffic, TIMEOUT_MILLIS);
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
