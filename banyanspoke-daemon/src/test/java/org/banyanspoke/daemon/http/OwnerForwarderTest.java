package org.banyanspoke.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.daemon.FakeBackend;
import org.banyanspoke.daemon.TestHost;
import org.banyanspoke.daemon.control.JobForwarder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests requests for jobs that another entry host owns. */
@Timeout(60)
class OwnerForwarderTest {
    private static final String JOBS = "/v1/teams/red/jobs/";
    private static final String JOB =
            "{\"batch\":\"b1\",\"tasks\":[{\"id\":\"t0\",\"payload\":\"p\",\"declaredMillis\":1}]}";

    private final Vertx backendVertx = Vertx.vertx();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FakeBackend backend;
    private TestHost owner;
    private TestHost other;
    private volatile JobForwarder toOwner;

    /** The parts of a response that are compared. */
    private record Reply(int status, String body, String jobId, String retryAfter) {}

    @BeforeEach
    void open() throws Exception {
        backend = new FakeBackend(backendVertx);
        owner = new TestHost(backend.address());
        toOwner = (request, timeoutMillis) -> owner.forwardedRequestHandler.handle(request);
        other = new TestHost(backend.address(), 8, (request, timeoutMillis) -> toOwner.forward(request, timeoutMillis));
    }

    @AfterEach
    void close() throws Exception {
        other.close();
        owner.close();
        backendVertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private Reply send(TestHost host, String method, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + host.callersPort() + path))
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
                .header("Authorization", "Bearer red-token")
                .timeout(Duration.ofSeconds(20))
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        return new Reply(
                response.statusCode(),
                response.body(),
                response.headers().firstValue("Job-Id").orElse(null),
                response.headers().firstValue("Retry-After").orElse(null));
    }

    private String reserve() throws Exception {
        String body =
                send(owner, "POST", "/v1/teams/red/job-ids", "{\"count\":1}").body();
        return Json.mapper().readTree(body).at("/jobIds/0").asText();
    }

    @Nested
    class OwnerResponds {
        /**
         * Guards against a second start of the job, and against responses that depend on the host that received the
         * request.
         */
        @Test
        void sameResponseThroughEveryHost() throws Exception {
            String path = JOBS + reserve();
            Reply submitted = send(other, "PUT", path, JOB);
            assertThat(submitted.status()).isEqualTo(200);
            assertThat(submitted.jobId()).isNotNull();
            assertThat(send(owner, "PUT", path, JOB)).isEqualTo(submitted);
            assertThat(send(other, "PUT", path, JOB)).isEqualTo(submitted);
            assertThat(send(other, "GET", path, null)).isEqualTo(send(owner, "GET", path, null));
            assertThat(send(other, "DELETE", path, null)).isEqualTo(send(owner, "DELETE", path, null));
            assertThat(backend.requests).hasSize(1);
        }

        /** Guards against a wait or a cancellation that is lost when the request is forwarded. */
        @Test
        void waitingAndCancellationReachTheOwner() throws Exception {
            backend.onTask = request -> {};
            String path = JOBS + reserve();
            assertThat(send(other, "PUT", path + "?wait=false", JOB).status()).isEqualTo(202);
            Reply waited = send(other, "GET", path + "?waitMillis=200", null);
            assertThat(waited.body()).contains("\"running\"");
            assertThat(send(other, "DELETE", path, null).body()).contains("CANCELLED");
            assertThat(send(other, "GET", path, null).status()).isEqualTo(409);
        }
    }

    @Nested
    class OwnerRefuses {
        /** Guards against an error response of the owner that changes when it is forwarded back. */
        @Test
        void refusalsMatchThoseOfTheOwner() throws Exception {
            String path = JOBS + reserve();
            Map<String, String> refusals = Map.of(
                    "UNKNOWN_BATCH",
                    JOB.replace("b1", "b9"),
                    "INVALID_JOB",
                    "{\"batch\":\"b1\",\"tasks\":[]}",
                    "MALFORMED_REQUEST",
                    "{",
                    "REQUEST_TOO_LARGE",
                    "x".repeat(TestHost.MAX_BODY_BYTES + 1));
            for (Map.Entry<String, String> refusal : refusals.entrySet()) {
                Reply reply = send(other, "PUT", path, refusal.getValue());
                assertThat(reply.body()).contains(refusal.getKey(), "not_run");
                Reply direct = send(owner, "PUT", path, refusal.getValue());
                assertThat(reply.status()).isEqualTo(direct.status());
                assertThat(reply.body()).isEqualTo(direct.body());
            }
            send(owner, "PUT", path, JOB);
            assertThat(send(other, "PUT", path, JOB.replace("\"p\"", "\"q\"")).body())
                    .contains("JOB_ID_CONFLICT", "may_have_run");
        }

        /** Guards against a forged job id that another host accepts as one of the owner. */
        @Test
        void forgedIdIsUnknown() throws Exception {
            String issued = reserve();
            String forged = issued.substring(0, issued.length() - 1) + (issued.endsWith("0") ? "1" : "0");
            Reply reply = send(other, "PUT", JOBS + forged, JOB);
            Reply direct = send(owner, "PUT", JOBS + forged, JOB);
            assertThat(reply.body()).isEqualTo(direct.body()).contains("UNKNOWN_JOB", "not_run");
            assertThat(backend.requests).isEmpty();
        }
    }

    @Nested
    class OwnerUnavailable {
        /** Guards against a drained owner that starts new work or no longer answers for finished jobs. */
        @Test
        void drainedOwnerAnswersOnlyForKnownJobs() throws Exception {
            String knownPath = JOBS + reserve();
            String newPath = JOBS + reserve();
            Reply done = send(other, "PUT", knownPath, JOB);
            owner.dispatch.drain().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
            Reply refused = send(other, "PUT", newPath, JOB);
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.body()).contains("DRAINING", "not_run");
            assertThat(refused.retryAfter()).isEqualTo("1");
            assertThat(send(other, "PUT", knownPath, JOB)).isEqualTo(done);
        }

        /** Guards against "not run" for a job that its lost or unreachable owner may have started. */
        @Test
        void lostAndUnreachableOwnersMayHaveRunTheJob() throws Exception {
            String path = JOBS + reserve();
            for (ErrorKind kind : new ErrorKind[] {ErrorKind.OWNER_LOST, ErrorKind.OWNER_UNREACHABLE}) {
                toOwner = (request, timeoutMillis) -> Single.error(new DispatchException(kind, "owner unavailable"));
                for (String method : new String[] {"PUT", "GET", "DELETE"}) {
                    Reply reply = send(other, method, path, method.equals("PUT") ? JOB : null);
                    assertThat(reply.status()).isEqualTo(kind.httpStatus());
                    assertThat(reply.body()).contains(kind.name(), "may_have_run");
                }
            }
        }
    }
}
