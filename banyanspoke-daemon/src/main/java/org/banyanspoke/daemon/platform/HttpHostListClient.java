package org.banyanspoke.daemon.platform;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpMethod;
import io.vertx.rxjava3.core.Vertx;
import java.util.List;
import org.banyanspoke.daemon.platform.internal.PlatformHttp;

/** {@link HostListClient} over HTTP. Results arrive on a Vert.x thread. */
public final class HttpHostListClient implements HostListClient {
    private final PlatformHttp http;

    /**
     * @param vertx runs the requests
     * @param address {@code ip:port} of the host list
     */
    public HttpHostListClient(Vertx vertx, String address) {
        this.http = new PlatformHttp(vertx, address);
    }

    @Override
    public Single<List<ListedHost>> hosts() {
        return http.request(HttpMethod.GET, "/hosts", null)
                .flatMap(reply -> reply.status() == 200 ? reply.parse(HostList.class) : reply.fail())
                .map(HostList::hosts);
    }

    private record HostList(List<ListedHost> hosts) {}
}
