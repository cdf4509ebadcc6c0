package org.banyanspoke.daemon.platform;

import com.google.common.net.HostAndPort;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientResponse;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.daemon.control.ServerCheck;

/**
 * {@link ServerCheck} that requests the health endpoint of the server. Opens a new connection for each check, as checks
 * are rare and the server may have been replaced since the last check. Results are emitted on a Vert.x thread.
 */
public final class HttpServerCheck implements ServerCheck {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;

    /**
     * @param vertx creates the HTTP client
     */
    public HttpServerCheck(Vertx vertx) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    @Override
    public Single<ServerStatus> check(String address) {
        HostAndPort server = HostAndPort.fromString(address);
        return client.rxRequest(HttpMethod.GET, server.getPort(), server.getHost(), "/health")
                .flatMap(request -> request.rxSend()
                        .map(HttpServerCheck::toStatement)
                        .timeout(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .doOnError(e -> request.reset()));
    }

    private static ServerStatus toStatement(HttpClientResponse response) {
        String incarnation = response.getHeader("Server-Incarnation");
        boolean leaving = "leaving".equals(response.getHeader("Server-State"));
        return new ServerStatus(incarnation == null ? "" : incarnation, leaving);
    }
}
