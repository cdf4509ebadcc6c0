package org.banyanspoke.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.daemon.FakeBackend;
import org.banyanspoke.daemon.TestHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what callers observe while a port is being closed. */
@Timeout(60)
class HttpServiceTest {
    private static final String JOB = "{\"batch\":\"b1\",\"tasks\":[{\"id\":\"t1\",\"payload\":\"\"}]}";

    private final Vertx backendVertx = Vertx.vertx();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FakeBackend backend;
    private TestHost host;

    @BeforeEach
    void open() throws Exception {
        backend = new FakeBackend(backendVertx);
        host = new TestHost(backend.address());
    }

    @AfterEach
    void close() throws Exception {
        host.close();
        backendVertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<HttpResponse<String>> submit() {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + host.callersPort() + "/v1/teams/red/jobs"))
                .POST(HttpRequest.BodyPublishers.ofString(JOB))
                .header("Authorization", "Bearer red-token")
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    @Nested
    class ClosingPort {
        /**
         * Guards against a graceful shutdown that drops requests which arrive after its last check for requests in
         * progress.
         */
        @Test
        void answersRequestsAlreadyReceived() throws Exception {
            CountDownLatch started = new CountDownLatch(1);
            CountDownLatch closing = new CountDownLatch(1);
            backend.onTask = request -> {
                started.countDown();
                backendVertx.setTimer(500, unused -> FakeBackend.done(request));
            };
            CompletableFuture<HttpResponse<String>> answer = submit();
            assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
            Thread stop = new Thread(() -> {
                closing.countDown();
                host.close();
            });
            stop.start();
            assertThat(closing.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(answer.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
            stop.join(TimeUnit.SECONDS.toMillis(5));
            assertThat(stop.isAlive()).isFalse();
        }

        /** Guards against accepting connections whose requests are never answered. */
        @Test
        void acceptsNoNewConnections() {
            host.close();
            assertThatThrownBy(() -> submit().get(5, TimeUnit.SECONDS)).hasCauseInstanceOf(ConnectException.class);
        }
    }
}
