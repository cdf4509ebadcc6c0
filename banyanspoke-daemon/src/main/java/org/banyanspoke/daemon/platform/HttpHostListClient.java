package org.banyanspoke.daemon.platform;

import io.reactivex.rxjava3.core.Single;
import io.vertx.rxjava3.core.Vertx;
import java.util.List;
import java.util.Map;
import org.banyanspoke.daemon.platform.internal.HttpReply;
import org.banyanspoke.daemon.platform.internal.PlatformHttpClient;

/**
 * {@link HostListClient} over HTTP. Sends the entity tag of the last response, so that an unchanged list needs no
 * response body if the platform supports conditional requests. Results are emitted on a Vert.x thread.
 */
public final class HttpHostListClient implements HostListClient {
    /** Shorter than for the log: a read on an unresponsive connection delays the next one. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private static final TaggedHostList EMPTY = new TaggedHostList(null, List.of());

    private final PlatformHttpClient http;
    private volatile TaggedHostList lastRead = EMPTY;

    /**
     * @param vertx creates the HTTP client
     * @param address {@code ip:port} of the host list service
     * @param traffic counts sent and received bytes
     */
    public HttpHostListClient(Vertx vertx, String address, PlatformTraffic traffic) {
        this.http = new PlatformHttpClient(vertx, address, traffic, TIMEOUT_MILLIS);
    }

    @Override
    public Single<HostListRead> read() {
        return Single.defer(() -> {
            TaggedHostList cached = lastRead;
            Map<String, String> headers =
                    cached.entityTag() == null ? Map.of() : Map.of("If-None-Match", cached.entityTag());
            return http.get("/hosts", headers).flatMap(reply -> toRead(reply, cached));
        });
    }

    private Single<HostListRead> toRead(HttpReply reply, TaggedHostList cached) {
        if (reply.status() == 304 && cached.entityTag() != null) {
            return Single.just(new HostListRead(cached.hosts(), 0));
        }
        if (reply.status() != 200) {
            return reply.fail();
        }
        return reply.parse(HostList.class).map(list -> {
            lastRead = new TaggedHostList(reply.entityTag(), list.hosts());
            return new HostListRead(list.hosts(), reply.bodyBytes());
        });
    }

    private record HostList(List<ListedHost> hosts) {}

    /** A host list and its entity tag, or null if the response had none. */
    private record TaggedHostList(String entityTag, List<ListedHost> hosts) {}
}
