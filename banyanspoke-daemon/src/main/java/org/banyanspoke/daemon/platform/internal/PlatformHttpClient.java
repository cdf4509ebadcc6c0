package org.banyanspoke.daemon.platform.internal;

import com.google.common.base.Utf8;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientRequest;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.daemon.platform.PlatformException;
import org.banyanspoke.daemon.platform.PlatformTraffic;

/**
 * HTTP client of one platform service. Reads reuse connections, which saves the six packets of opening and closing one.
 * A timed-out request closes its connection, so an unresponsive connection fails only one read. Each write opens its
 * own connection, because a write on a reused connection that the service is closing may or may not have taken effect.
 */
public final class PlatformHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Fixed part of the start line (method or status, version, separators), and the empty line after the headers. */
    private static final int FIXED_START_LINE_BYTES = 17;

    private static final int HEADER_SEPARATOR_BYTES = 4;

    private final HttpClient readClient;
    private final HttpClient writeClient;
    private final String host;
    private final int port;
    /** Size of the Host header, which Vert.x adds after the request size is computed. */
    private final int hostHeaderBytes;

    private final PlatformTraffic traffic;
    private final long timeoutMillis;

    /**
     * @param vertx creates the HTTP clients
     * @param address {@code ip:port} of the service
     * @param traffic counts sent and received bytes
     * @param timeoutMillis time limit for the complete response once connected
     */
    public PlatformHttpClient(Vertx vertx, String address, PlatformTraffic traffic, long timeoutMillis) {
        int colon = address.lastIndexOf(':');
        this.host = address.substring(0, colon);
        this.port = Integer.parseInt(address.substring(colon + 1));
        this.hostHeaderBytes = "host".length() + address.length() + HEADER_SEPARATOR_BYTES;
        this.traffic = traffic;
        this.timeoutMillis = timeoutMillis;
        this.readClient = client(vertx, true);
        this.writeClient = client(vertx, false);
    }

    private static HttpClient client(Vertx vertx, boolean keepAlive) {
        return vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(keepAlive).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /**
     * Sends a GET request on a pooled connection.
     *
     * @param headers request headers
     * @return the response with any status; fails with {@link PlatformException}
     */
    public Single<HttpReply> get(String uri, Map<String, String> headers) {
        RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET).setURI(uri);
        headers.forEach(options::putHeader);
        return request(readClient, options, null);
    }

    /**
     * Sends a POST request on a new connection.
     *
     * @param body JSON request body
     * @return the response with any status; fails with {@link PlatformException}
     */
    public Single<HttpReply> post(String uri, String body) {
        return request(
                writeClient, new RequestOptions().setMethod(HttpMethod.POST).setURI(uri), body);
    }

    private Single<HttpReply> request(HttpClient client, RequestOptions options, String body) {
        String target = options.getMethod() + " " + host + ":" + port + options.getURI();
        return client.rxRequest(options.setHost(host).setPort(port))
                .onErrorResumeNext(e -> Single.error(new PlatformException(target + ": connection failed", false, e)))
                .flatMap(request -> send(request, target, body));
    }

    private Single<HttpReply> send(HttpClientRequest request, String target, String body) {
        traffic.onSent(headBytes(request.getURI(), request.headers())
                + hostHeaderBytes
                + (body == null ? 0 : Utf8.encodedLength(body)));
        Single<HttpReply> reply = (body == null ? request.rxSend() : request.rxSend(body))
                .flatMap(response -> response.rxBody()
                        .doOnSuccess(content -> traffic.onReceived(
                                headBytes(response.statusMessage(), response.headers()) + content.length()))
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

    /** Returns the size of the start line and the headers; the variable part is the URI or the reason phrase. */
    private static long headBytes(String variablePart, MultiMap headers) {
        long bytes = FIXED_START_LINE_BYTES + variablePart.length();
        for (Map.Entry<String, String> header : headers.entries()) {
            bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATOR_BYTES;
        }
        return bytes;
    }
}
