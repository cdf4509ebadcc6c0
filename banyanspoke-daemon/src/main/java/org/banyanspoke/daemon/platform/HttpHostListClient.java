package org.banyanspoke.daemon.platform;

import io.reactivex.rxjava3.core.Single;
import io.vertx.rxjava3.core.Vertx;
import java.util.List;
import java.util.Map;
import org.banyanspoke.daemon.platform.internal.HttpReply;
import org.banyanspoke.daemon.platform.internal.PlatformHttp;

/**
 * {@link HostListClient} over HTTP. Sends the entity tag of the last response, so that an unchanged list costs no body if
 * the platform supports conditional requests. Results arrive on a Vert.x thread.
 */
public final class HttpHostListClient implements HostListClient {
    /** Shorter than for the log: while a read of a silent connection lasts, the next one waits. */
    private static final long TIMEOUT_MILLIS = 1_000;

    private static final Tagged NOTHING = new Tagged(null, List.of());

    private final PlatformHttp http;
    private volatile Tagged last = NOTHING;

    /**
     * @param vertx runs the requests
     * @param address {@code ip:port} of the host list
     */
    public HttpHostListClient(Vertx vertx, String address) {
        this.http = new PlatformHttp(vertx, address, TIMEOUT_MILLIS);
    }

    @Override
    public Single<HostListRead> read() {
        return Single.defer(() -> {
            Tagged known = last;
            Map<String, String> headers =
                    known.entityTag() == null ? Map.of() : Map.of("If-None-Match", known.entityTag());
            return http.get("/hosts", headers).flatMap(reply -> toRead(reply, known));
        });
    }

    private Single<HostListRead> toRead(HttpReply reply, Tagged known) {
        if (reply.status() == 304 && known.entityTag() != null) {
            return Single.just(new HostListRead(known.hosts(), 0));
        }
        if (reply.status() != 200) {
            return reply.fail();
        }
        return reply.parse(HostList.class).map(list -> {
            last = new Tagged(reply.entityTag(), list.hosts());
            return new HostListRead(list.hosts(), reply.bodyBytes());
        });
    }

    private record HostList(List<ListedHost> hosts) {}

    /** A list with its entity tag, which is null if the platform sent none. */
    private record Tagged(String entityTag, List<ListedHost> hosts) {}
}
