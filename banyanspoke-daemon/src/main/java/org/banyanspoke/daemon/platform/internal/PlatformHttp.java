package org.banyanspoke.daemon.platform.internal;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientRequest;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.daemon.platform.PlatformException;

/**
 * Requests to one service of the platform. Reads share connections, which saves the six packets of a connection's start and
 * end; a request that times out closes its connection, so one that went silent affects one read. Each write has its own
 * connection: a write on a connection that the service closes at that moment may or may not have taken effect.
 */
public final class PlatformHttp {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final HttpClient reads;
    private final HttpClient writes;
    private final String host;
    private final int port;
    private final long timeoutMillis;

    /**
     * @param vertx runs the requests
     * @param address {@code ip:port} of the service
     * @param timeoutMillis longest time from the connection to the whole response
     */
    public PlatformHttp(Vertx vertx, String address, long timeoutMillis) {
        int colon = address.lastIndexOf(':');
        this.host = address.substring(0, colon);
        this.port = Integer.parseInt(address.substring(colon + 1));
        this.timeoutMillis = timeoutMillis;
        this.reads = client(vertx, true);
        this.writes = client(vertx, false);
    }

    private static HttpClient client(Vertx vertx, boolean keepAlive) {
        return vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(keepAlive).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /**
     * Reads.
     *
     * @param headers request headers
     * @return the response with any status; fails with {@link PlatformException}
     */
    public Single<HttpReply> get(String uri, Map<String, String> headers) {
        RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET).setURI(uri);
        headers.forEach(options::putHeader);
        return request(reads, options, null);
    }

    /**
     * Writes.
     *
     * @param body the JSON body
     * @return the response with any status; fails with {@link PlatformException}
     */
    public Single<HttpReply> post(String uri, String body) {
        return request(writes, new RequestOptions().setMethod(HttpMethod.POST).setURI(uri), body);
    }

    private Single<HttpReply> request(HttpClient client, RequestOptions options, String body) {
        String target = options.getMethod() + " " + host + ":" + port + options.getURI();
        return client.rxRequest(options.setHost(host).setPort(port))
                .onErrorResumeNext(e -> Single.error(new PlatformException(target + ": not connected", false, e)))
                .flatMap(request -> send(request, target, body));
    }

    private Single<HttpReply> send(HttpClientRequest request, String target, String body) {
        Single<HttpReply> reply = (body == null ? request.rxSend() : request.rxSend(body))
                .flatMap(response -> response.rxBody()
                        .map(content -> new HttpReply(
                                target,
                                response.statusCode(),
                                response.getHeader("ETag"),
                                content.length(),
                                content.toString("UTF-8"))));
        return reply.timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .doOnError(e -> request.reset())
                .onErrorResumeNext(e -> Single.error(new PlatformException(target + ": no response", true, e)));
    }
}
