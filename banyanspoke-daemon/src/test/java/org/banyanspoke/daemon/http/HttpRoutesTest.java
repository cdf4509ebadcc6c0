package org.banyanspoke.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
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

class HttpRoutesTest {
    private static final String JOBS = "/v1/teams/red/jobs";

    private final Vertx backendVertx = Vertx.vertx();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FakeBackend backend;
    private TestHost host;

    /** Status, error kind (empty if none), parsed body and complete response. */
    private record Reply(int status, String kind, JsonNode body, HttpResponse<String> response) {}

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

    private Reply send(int port, String method, String path, String token, String body) throws Exception {
        HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, publisher)
                .header("Authorization", "Bearer " + token)
                .timeout(Duration.ofSeconds(20))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        JsonNode json = Json.mapper().readTree(response.body());
        return new Reply(response.statusCode(), json.at("/error/kind").asText(), json, response);
    }

    private Reply call(String method, String path, String body) throws Exception {
        return send(host.callersPort(), method, path, "red-token", body);
    }

    private Reply admin(String method, String path, String body) throws Exception {
        return send(host.adminPort(), method, path, "operator-token", body);
    }

    private static String job(int tasks) {
        return IntStream.range(0, tasks)
                .mapToObj(i -> "{\"id\":\"t" + i + "\",\"payload\":\"p\",\"declaredMillis\":1}")
                .collect(Collectors.joining(",", "{\"batch\":\"b1\",\"tasks\":[", "]}"));
    }

    private String reserve() throws Exception {
        Reply reply = call("POST", "/v1/teams/red/job-ids", "{\"count\":1}");
        assertThat(reply.status()).isEqualTo(201);
        return reply.body().at("/jobIds/0").asText();
    }

    private static void assertRefused(Reply reply, int status, String kind) {
        assertThat(reply.kind()).isEqualTo(kind);
        assertThat(reply.status()).isEqualTo(status);
    }

    @Nested
    class Jobs {
        /**
         * Guards against missing or reordered results, and against a Job-Id header that cannot be used for a status
         * request.
         */
        @Test
        void theLargestJobReturnsAllResultsInOrder() throws Exception {
            Reply reply = call("POST", JOBS, job(1_100));
            assertThat(reply.status()).isEqualTo(200);
            assertThat(reply.body().at("/state").asText()).isEqualTo("complete");
            for (int i = 0; i < 1_100; i++) {
                assertThat(reply.body().at("/tasks/" + i + "/result").asText()).isEqualTo("t" + i);
            }
            String jobId = reply.response().headers().firstValue("Job-Id").orElseThrow();
            assertThat(call("GET", JOBS + "/" + jobId, null).body()).isEqualTo(reply.body());
        }

        /** Guards against starting the tasks a second time when a client resubmits a job. */
        @Test
        void aResubmissionGetsTheSameResponse() throws Exception {
            String path = JOBS + "/" + reserve();
            Reply first = call("PUT", path, job(3));
            assertThat(call("PUT", path, job(3)).body()).isEqualTo(first.body());
            assertThat(backend.requests).hasSize(3);
            assertRefused(call("PUT", path, job(4)), 409, "JOB_ID_CONFLICT");
        }

        /** Guards against a waiting status request that returns before the job ends, or never. */
        @Test
        void aWaitingStatusRequestReturnsWhenTheJobEnds() throws Exception {
            backend.onTask = request -> backendVertx.setTimer(200, unused -> FakeBackend.done(request));
            String path = JOBS + "/" + reserve();
            Reply submitted = call("PUT", path + "?wait=false", job(1));
            assertThat(submitted.status()).isEqualTo(202);
            assertThat(submitted.body().at("/state").asText()).isEqualTo("running");
            Reply ended = call("GET", path + "?waitMillis=10000", null);
            assertThat(ended.body().at("/state").asText()).isEqualTo("complete");
        }

        /** Guards against a job that is cancelled when its caller disconnects. */
        @Test
        void aCallerThatDisconnectsDoesNotCancelItsJob() throws Exception {
            backend.onTask = request -> backendVertx.setTimer(300, unused -> FakeBackend.done(request));
            String path = JOBS + "/" + reserve();
            try (Socket socket = new Socket("127.0.0.1", host.callersPort())) {
                write(socket, head("PUT", path, job(1).length()) + job(1));
                while (backend.requests.isEmpty()) {
                    Thread.sleep(5);
                }
            }
            Reply ended = call("GET", path + "?waitMillis=10000", null);
            assertThat(ended.body().at("/state").asText()).isEqualTo("complete");
        }

        /** Guards against a partial result list in a failed job. */
        @Test
        void aFailedTaskFailsTheJobWithoutResults() throws Exception {
            backend.onTask = request -> FakeBackend.respond(
                    request, request.getHeader("Task-Id").equals("t1") ? 500 : 200, request.getHeader("Task-Attempt"));
            Reply reply = call("POST", JOBS, job(3));
            assertRefused(reply, 502, "TASK_FAILED");
            assertThat(reply.body().at("/tasks")).isEmpty();
        }

        /** Guards against a job that keeps running after its cancellation. */
        @Test
        void aCancelledJobIsReportedAsFailed() throws Exception {
            backend.onTask = request -> {};
            String path = JOBS + "/" + reserve();
            call("PUT", path + "?wait=false", job(1));
            Reply cancelled = call("DELETE", path, null);
            assertThat(cancelled.status()).isEqualTo(200);
            assertThat(cancelled.kind()).isEqualTo("CANCELLED");
            assertRefused(call("GET", path, null), 409, "CANCELLED");
        }
    }

    @Nested
    class BadRequests {
        /** Guards against accepting jobs with too few or too many tasks. */
        @Test
        void theNumberOfTasksIsLimited() throws Exception {
            assertRefused(call("POST", JOBS, job(0)), 422, "INVALID_JOB");
            assertRefused(call("POST", JOBS, job(1_101)), 422, "INVALID_JOB");
        }

        /** Guards against two results with the same task id. */
        @Test
        void aDuplicateTaskIdIsRefused() throws Exception {
            assertRefused(
                    call("POST", JOBS, "{\"batch\":\"b1\",\"tasks\":[{\"id\":\"a\"},{\"id\":\"a\"}]}"),
                    422,
                    "INVALID_JOB");
        }

        /** Guards against lenient parsing that accepts a body with another meaning than the caller intended. */
        @Test
        void invalidJsonWrongTypesAndUnknownFieldsAreMalformed() throws Exception {
            for (String body : new String[] {
                "{\"batch\":",
                "",
                "null",
                "[]",
                "{\"batch\":7,\"tasks\":{}}",
                "{\"batch\":\"b1\",\"tasks\":[null]}",
                "{\"batch\":\"b1\",\"tasks\":[{\"id\":\"a b\"}]}",
                "{\"batch\":\"b1\",\"tasks\":[],\"priority\":1}"
            }) {
                assertThat(call("POST", JOBS, body).kind()).as(body).isEqualTo("MALFORMED_REQUEST");
            }
        }

        /** Guards against request bodies that exhaust the memory. */
        @Test
        void anOversizedBodyIsRefused() throws Exception {
            assertRefused(call("POST", JOBS, "x".repeat(TestHost.MAX_BODY_BYTES + 1)), 413, "REQUEST_TOO_LARGE");
        }

        /** Guards against oversized bodies without a declared length. */
        @Test
        void anOversizedChunkedBodyIsRefused() throws Exception {
            try (Socket socket = new Socket("127.0.0.1", host.callersPort())) {
                String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
                write(socket, head("POST", JOBS, -1) + chunk.repeat(4));
                assertThat(readAll(socket)).contains("413", "REQUEST_TOO_LARGE", "not_run");
            }
        }

        /** Guards against connections held open by request bodies that never end. */
        @Test
        void aSlowBodyTimesOut() throws Exception {
            try (Socket socket = new Socket("127.0.0.1", host.callersPort())) {
                write(socket, head("POST", JOBS, 1_000) + "{");
                assertThat(readAll(socket)).contains("408", "REQUEST_TIMEOUT", "not_run");
            }
        }

        /** Guards against silently replacing an invalid query parameter by its default. */
        @Test
        void invalidParametersAreMalformed() throws Exception {
            assertRefused(call("POST", JOBS + "?wait=maybe", job(1)), 400, "MALFORMED_REQUEST");
            assertRefused(call("GET", JOBS + "/" + reserve() + "?waitMillis=30001", null), 400, "MALFORMED_REQUEST");
        }
    }

    @Nested
    class Access {
        /** Guards against a team that submits or reads jobs of another team. */
        @Test
        void tokensAreValidOnlyForTheirTeam() throws Exception {
            int port = host.callersPort();
            assertRefused(send(port, "POST", JOBS, "blue-token", job(1)), 403, "FORBIDDEN");
            assertRefused(send(port, "POST", JOBS, "wrong", job(1)), 401, "UNAUTHENTICATED");
            assertRefused(send(port, "POST", "/v1/teams/green/jobs", "red-token", job(1)), 404, "UNKNOWN_TEAM");
        }

        /** Guards against using a job id that was issued to another team. */
        @Test
        void aJobIdOfAnotherTeamIsUnknown() throws Exception {
            Reply reply = send(host.callersPort(), "PUT", "/v1/teams/blue/jobs/" + reserve(), "blue-token", job(1));
            assertRefused(reply, 404, "UNKNOWN_JOB");
        }

        /** Guards against operator routes that callers can reach. */
        @Test
        void operatorRoutesDoNotExistOnTheCallersPort() throws Exception {
            for (String path : new String[] {"status", "config", "drain", "tickets", "metrics"}) {
                Reply reply = send(host.callersPort(), "GET", "/v1/admin/" + path, "operator-token", null);
                assertRefused(reply, 404, "UNKNOWN_ROUTE");
            }
            assertThat(host.drainRequested).isFalse();
        }

        /** Guards against accepting team tokens, or serving job routes, on the operators' port. */
        @Test
        void theOperatorsPortServesOnlyOperators() throws Exception {
            assertRefused(send(host.adminPort(), "GET", "/v1/admin/status", "red-token", null), 401, "UNAUTHENTICATED");
            assertRefused(admin("POST", JOBS, job(1)), 404, "UNKNOWN_ROUTE");
        }

        /** Guards against an error response without an error kind for an unsupported method. */
        @Test
        void anUnsupportedMethodIsRefused() throws Exception {
            assertRefused(call("DELETE", JOBS, null), 405, "METHOD_NOT_ALLOWED");
        }
    }

    @Nested
    class Operators {
        /** Guards against responses that lack fields documented in docs/api.md. */
        @Test
        void statusServersAndMetricsHaveTheDocumentedFields() throws Exception {
            call("POST", JOBS, job(2));
            assertThat(admin("GET", "/v1/admin/status", null).body().fieldNames())
                    .toIterable()
                    .containsExactly(
                            "host",
                            "zone",
                            "incarnation",
                            "ready",
                            "draining",
                            "configNumber",
                            "configSource",
                            "runningJobs",
                            "waitingTasks",
                            "tasksInFlight");
            assertThat(admin("GET", "/v1/admin/servers", null)
                            .body()
                            .at("/0/id")
                            .asText())
                    .isEqualTo("s1");
            JsonNode metrics = admin("GET", "/v1/admin/metrics", null).body();
            assertThat(metrics.at("/histograms/team.red.service/count").asInt()).isEqualTo(2);
            assertThat(metrics.at("/counters/jobs.complete").asInt()).isEqualTo(1);
        }

        /**
         * Guards against a request that hangs after an unexpected exception, and against exposing its details to
         * clients.
         */
        @Test
        void anUnexpectedExceptionIsAnInternalError() throws Exception {
            Reply reply = admin("POST", "/v1/admin/tickets", "{\"number\":2,\"ticketId\":\"x\",\"author\":\"a\"}");
            assertRefused(reply, 500, "INTERNAL");
            assertThat(reply.response().body()).doesNotContain("secret detail");
        }
    }

    @Nested
    class Draining {
        /** Guards against a kept-alive connection on which a load balancer would retry on the draining host. */
        @Test
        void refusesNewWorkAndStillAnswersResubmissions() throws Exception {
            String path = JOBS + "/" + reserve();
            Reply done = call("PUT", path, job(1));
            host.dispatch.drain().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
            Reply refused = call("POST", JOBS, job(1));
            assertRefused(refused, 503, "DRAINING");
            assertThat(refused.response().headers().firstValue("Connection")).contains("close");
            assertThat(call("PUT", path, job(1)).body()).isEqualTo(done.body());
        }
    }

    private static String head(String method, String path, int length) {
        String framing = length < 0 ? "Transfer-Encoding: chunked" : "Content-Length: " + length;
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer red-token\r\n" + framing
                + "\r\n\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads until the server closes the connection, which it has to do after these responses. */
    private static String readAll(Socket socket) throws IOException {
        socket.setSoTimeout(5_000);
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
