package org.banyanspoke.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.daemon.FakeBackend;
import org.banyanspoke.daemon.TestHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the limits on memory and connections that clients can occupy. */
@Timeout(60)
class RequestLimitsTest {
    private static final String JOBS = "/v1/teams/red/jobs";

    private final Vertx backendVertx = Vertx.vertx();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FakeBackend backend;
    private TestHost host;

    @BeforeEach
    void open() throws Exception {
        backend = new FakeBackend(backendVertx);
        backend.onTask = request -> {};
        host = new TestHost(backend.address());
    }

    @AfterEach
    void close() throws Exception {
        host.close();
        backendVertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private HttpResponse<String> send(int port, String method, String path, String token, String body)
            throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .header("Authorization", "Bearer " + token)
                .timeout(Duration.ofSeconds(20))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> call(String method, String path, String body) throws Exception {
        return send(host.callersPort(), method, path, "red-token", body);
    }

    private String reserve() throws Exception {
        String body = call("POST", "/v1/teams/red/job-ids", "{\"count\":1}").body();
        return JOBS + "/" + Json.mapper().readTree(body).at("/jobIds/0").asText();
    }

    private long counter(String name) throws Exception {
        String body = send(host.adminPort(), "GET", "/v1/admin/metrics", "operator-token", "")
                .body();
        return Json.mapper().readTree(body).at("/counters").path(name).asLong(-1);
    }

    /** Returns a job just below the size limit of one body, which is a quarter of the memory budget for all bodies. */
    private static String largeJob() {
        String payload = "x".repeat(16_000);
        return IntStream.range(0, 6)
                .mapToObj(i -> "{\"id\":\"t" + i + "\",\"payload\":\"" + payload + "\"}")
                .collect(Collectors.joining(",", "{\"batch\":\"b1\",\"tasks\":[", "]}"));
    }

    @Nested
    class HeldBodies {
        /** Guards against large bodies that exhaust the memory, including those of jobs whose caller does not wait. */
        @Test
        void countAgainstTheBudgetUntilTheirJobsEnd() throws Exception {
            String first = reserve();
            assertThat(call("PUT", first + "?wait=false", largeJob()).statusCode())
                    .isEqualTo(202);
            assertThat(call("POST", JOBS + "?wait=false", largeJob()).statusCode())
                    .isEqualTo(202);
            HttpResponse<String> refused = call("POST", JOBS + "?wait=false", largeJob());
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.body()).contains("OVERLOADED", "not_run");
            assertThat(refused.headers().firstValue("Retry-After")).contains("1");
            assertThat(counter("http.refusedBodies")).isEqualTo(1);
            assertThat(counter("http.heldBodyBytes")).isEqualTo(2L * largeJob().length());
            call("DELETE", first, "");
            assertThat(call("POST", JOBS + "?wait=false", largeJob()).statusCode())
                    .isEqualTo(202);
        }

        /** Guards against one team that uses up the whole memory budget and thereby locks out other teams. */
        @Test
        void leaveMemoryForOtherTeams() throws Exception {
            call("POST", JOBS + "?wait=false", largeJob());
            call("POST", JOBS + "?wait=false", largeJob());
            assertThat(call("POST", JOBS + "?wait=false", largeJob()).body()).contains("OVERLOADED");
            HttpResponse<String> other =
                    send(host.callersPort(), "POST", "/v1/teams/blue/jobs", "blue-token", largeJob());
            assertThat(other.body()).contains("UNKNOWN_BATCH");
        }

        /** Guards against "not run" for a resubmission of a job that was started. */
        @Test
        void refusalOfAResubmissionDoesNotSayNotRun() throws Exception {
            String started = reserve();
            String unused = reserve();
            call("PUT", started + "?wait=false", largeJob());
            call("POST", JOBS + "?wait=false", largeJob());
            assertThat(call("PUT", started, largeJob()).body()).contains("OWNER_UNREACHABLE", "may_have_run");
            assertThat(call("PUT", unused, largeJob()).body()).contains("OVERLOADED", "not_run");
        }

        /** Guards against refused and malformed submissions that leak their reserved bytes. */
        @Test
        void areReleasedAfterARefusal() throws Exception {
            for (int i = 0; i < 10; i++) {
                assertThat(call("POST", JOBS, largeJob().replace("b1", "b9")).body())
                        .contains("UNKNOWN_BATCH");
                assertThat(call("POST", JOBS, largeJob().substring(1)).body()).contains("MALFORMED_REQUEST");
                assertThat(call("POST", JOBS + "?wait=maybe", largeJob()).body())
                        .contains("MALFORMED_REQUEST");
            }
            assertThat(counter("http.heldBodyBytes")).isZero();
        }
    }

    @Nested
    class StalledClients {
        private void assertClosed(int port, String text, long limitMillis) throws IOException {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout((int) limitMillis);
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                socket.getInputStream().readAllBytes();
            }
        }

        /** Guards against clients that hold connections open without completing a request head. */
        @Test
        void areDisconnectedBeforeTheirFirstRequest() throws Exception {
            for (int port : new int[] {host.callersPort(), host.adminPort()}) {
                assertClosed(port, "", 4 * TestHost.HEAD_TIMEOUT_MILLIS);
                assertClosed(port, "POST " + JOBS + " HTTP/1.1\r\nHost: h\r\nX", 4 * TestHost.HEAD_TIMEOUT_MILLIS);
            }
        }

        /** Guards against clients that stall after their first request. */
        @Test
        void areDisconnectedBetweenRequests() throws Exception {
            String request = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n";
            assertClosed(host.callersPort(), request + "GET /hea", 3 * TestHost.IDLE_TIMEOUT_MILLIS);
        }

        /** Guards against disconnecting a caller whose job runs longer than the idle timeout. */
        @Test
        void aWaitingCallerIsNotDisconnected() throws Exception {
            backend.onTask = request ->
                    backendVertx.setTimer(2 * TestHost.IDLE_TIMEOUT_MILLIS, unused -> FakeBackend.done(request));
            String job = "{\"batch\":\"b1\",\"tasks\":[{\"id\":\"t0\"}]}";
            assertThat(call("POST", JOBS, job).statusCode()).isEqualTo(200);
        }

        /** Guards against "not run" for a stalled resubmission of a job that was started. */
        @Test
        void stalledResubmissionDoesNotSayNotRun() throws Exception {
            String started = reserve();
            String unused = reserve();
            call("PUT", started + "?wait=false", largeJob());
            assertThat(stalled(started)).contains("OWNER_UNREACHABLE", "may_have_run");
            assertThat(stalled(unused)).contains("REQUEST_TIMEOUT", "not_run");
        }

        private String stalled(String path) throws IOException {
            try (Socket socket = new Socket("127.0.0.1", host.callersPort())) {
                socket.setSoTimeout(5_000);
                String head = "PUT " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-token\r\n"
                        + "Content-Length: 1000\r\n\r\n{";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            }
        }

        /** Guards against request heads that exhaust the memory. */
        @Test
        void anEndlessHeadIsRefused() throws Exception {
            try (Socket socket = new Socket("127.0.0.1", host.callersPort())) {
                socket.setSoTimeout(5_000);
                String head = "GET /health/live HTTP/1.1\r\nX: " + "x".repeat(64 * 1024);
                socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                assertThat(new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8))
                        .isEqualTo("HTTP/1.1 431");
            }
        }
    }
}
