package org.banyanspoke.daemon.platform.internal;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientRequest;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.daemon.platform.PlatformException;

/**
 * Requests to one service of the platform. Each request has its own connection: there are at most a few a second, and a
 * connection that went silent then affects one request only.
 */
public final class PlatformHttp {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

    private final HttpClient client;
    private final String host;
    private final int port;

    /**
     * @param vertx runs the requests
     * @param address {@code ip:port} of the service
     */
    public PlatformHttp(Vertx vertx, String address) {
        int colon = address.lastIndexOf(':');
        this.host = address.substring(0, colon);
        this.port = Integer.parseInt(address.substring(colon + 1));
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /**
     * Sends one request.
     *
     * @param body the JSON body, or null for none
     * @return the response with any status; fails with {@link PlatformException}
     */
    public Single<HttpReply> request(HttpMethod method, String uri, String body) {
        String target = method + " " + host + ":" + port + uri;
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(uri);
        return client.rxRequest(options)
                .onErrorResumeNext(e -> Single.error(new PlatformException(target + ": not connected", false, e)))
                .flatMap(request -> send(request, target, body));
    }

    private static Single<HttpReply> send(HttpClientRequest request, String target, String body) {
        Single<HttpReply> reply = (body == null ? request.rxSend() : request.rxSend(body))
                .flatMap(response -> response.rxBody()
                        .map(content -> new HttpReply(target, response.statusCode(), content.toString("UTF-8"))));
        return reply.timeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .doOnError(e -> request.reset())
                .onErrorResumeNext(e -> Single.error(new PlatformException(target + ": no response", true, e)));
    }
}
