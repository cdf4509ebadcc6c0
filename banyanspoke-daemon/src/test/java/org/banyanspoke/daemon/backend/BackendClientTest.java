package org.banyanspoke.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.LoadReport;
import org.banyanspoke.core.dispatch.TaskAttempt;
import org.banyanspoke.daemon.FakeBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class BackendClientTest {
    private static final ServerId SERVER = new ServerId("s1");
    private static final JobId JOB = JobId.parse("h1~127.0.0.1:1~0000000000000001~0~1~0000000000000002");
    private static final long LONG_LEASE_MILLIS = 60_000;

    private final Vertx serverVertx = Vertx.vertx();
    private final Vertx clientVertx = Vertx.vertx();
    private final Context context = clientVertx.getOrCreateContext();
    private final AtomicLong clockOffsetNanos = new AtomicLong();
    private final BackendClient client =
            new BackendClient(clientVertx, context, () -> System.nanoTime() + clockOffsetNanos.get());
    private FakeBackend backend;
    private long nextAttempt = 1;

    @BeforeEach
    void open() throws Exception {
        backend = new FakeBackend(serverVertx);
        configure(backend.address());
        context.runOnContext(unused -> clientVertx.setPeriodic(10, timer -> client.tick()));
    }

    @AfterEach
    void close() throws Exception {
        clientVertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        serverVertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private void configure(String address) {
        BackendServerConfig server = new BackendServerConfig(
                SERVER, new ZoneId("z1"), "r1", address, 8, 64, Set.of(), ServerState.IN_SERVICE);
        ConfigState config =
                new ConfigState(1, Map.of(), Map.of(), Map.of(SERVER, server), Map.of(), ClassShares.DEFAULT);
        context.runOnContext(unused -> client.configure(config));
    }

    private TaskAttempt attempt(long leaseMillis) {
        TaskSpec task = new TaskSpec(new TaskId("t" + nextAttempt), "payload", 1, false);
        return new TaskAttempt(nextAttempt++, JOB, task, SERVER, leaseMillis);
    }

    private CompletableFuture<AttemptResult> start(long leaseMillis) {
        return start(attempt(leaseMillis));
    }

    private CompletableFuture<AttemptResult> start(TaskAttempt attempt) {
        CompletableFuture<AttemptResult> result = new CompletableFuture<>();
        context.runOnContext(unused -> client.start(attempt, result::complete));
        return result;
    }

    private static AttemptResult await(CompletableFuture<AttemptResult> result) throws Exception {
        return result.get(10, TimeUnit.SECONDS);
    }

    private Outcome outcomeWhen(io.vertx.core.Handler<HttpServerRequest> onTask) throws Exception {
        backend.onTask = onTask;
        return await(start(LONG_LEASE_MILLIS)).outcome();
    }

    @Nested
    class Responses {
        /** Guards against losing the result, load report or incarnation of a response. */
        @Test
        void successCarriesResultLoadAndIncarnation() throws Exception {
            AttemptResult result = await(start(LONG_LEASE_MILLIS));
            assertThat(result.outcome()).isEqualTo(Outcome.DONE);
            assertThat(result.result()).isEqualTo("t1");
            assertThat(result.load()).isEqualTo(new LoadReport(3, 1, 8));
            assertThat(result.serverIncarnation()).isEqualTo("i1");
        }

        /** Guards against restarting a task elsewhere although the server may have started it. */
        @Test
        void serverErrorWithoutTaskStartedHeaderIsFailed() throws Exception {
            assertThat(outcomeWhen(request -> FakeBackend.respond(request, 500, request.getHeader("Task-Attempt"))))
                    .isEqualTo(Outcome.FAILED);
        }

        private AttemptResult refusal(String serverState) throws Exception {
            backend.onTask = request -> request.response()
                    .setStatusCode(503)
                    .putHeader("Task-Attempt", request.getHeader("Task-Attempt"))
                    .putHeader("Task-Started", "false")
                    .putHeader("Server-State", serverState)
                    .end();
            return await(start(LONG_LEASE_MILLIS));
        }

        /** Guards against ignoring the leaving state that a server reports with a refusal. */
        @Test
        void refusalByALeavingServerReportsItAsLeaving() throws Exception {
            AttemptResult result = refusal("leaving");
            assertThat(result.outcome()).isEqualTo(Outcome.REFUSED_BY_SERVER);
            assertThat(result.serverLeaving()).isTrue();
        }

        /** Guards against withholding work from a server until the next ticket after a single refusal (design 2.6). */
        @Test
        void refusalAloneDoesNotReportLeaving() throws Exception {
            AttemptResult result = refusal("in_service");
            assertThat(result.outcome()).isEqualTo(Outcome.REFUSED_BY_SERVER);
            assertThat(result.serverLeaving()).isFalse();
        }

        /** Guards against delivering a result to the wrong task, and against reusing such a connection. */
        @Test
        void responseToAnotherAttemptIsUnknownAndClosesTheConnection() throws Exception {
            assertThat(outcomeWhen(request -> FakeBackend.respond(request, 200, "999")))
                    .isEqualTo(Outcome.UNKNOWN);
            assertThat(outcomeWhen(FakeBackend::done)).isEqualTo(Outcome.DONE);
            assertThat(backend.connections).hasSize(2);
        }

        /** Guards against exhausting the memory of the entry host with a large response body. */
        @Test
        void oversizedResponseIsUnknown() throws Exception {
            assertThat(outcomeWhen(request -> request.response()
                            .putHeader("Task-Attempt", request.getHeader("Task-Attempt"))
                            .end("x".repeat(ServerConnection.MAX_RESPONSE_BYTES + 1))))
                    .isEqualTo(Outcome.UNKNOWN);
        }
    }

    @Nested
    class Connections {
        /** Guards against failing a job although its task can be sent to another server. */
        @Test
        void refusedConnectionIsNotSent() throws Exception {
            int closedPort;
            try (ServerSocket socket = new ServerSocket(0)) {
                closedPort = socket.getLocalPort();
            }
            configure("127.0.0.1:" + closedPort);
            assertThat(await(start(LONG_LEASE_MILLIS)).outcome()).isEqualTo(Outcome.NOT_SENT);
        }

        /** Guards against restarting a task whose request the server may have read. */
        @Test
        void connectionClosedAfterTheRequestIsUnknown() throws Exception {
            assertThat(outcomeWhen(request -> request.connection().close())).isEqualTo(Outcome.UNKNOWN);
            assertThat(backend.requests).hasSize(1);
        }

        /** Guards against opening more connections to a server than the limit per host. */
        @Test
        void areAtMostEight() throws Exception {
            List<CompletableFuture<AttemptResult>> results = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                results.add(start(LONG_LEASE_MILLIS));
            }
            for (CompletableFuture<AttemptResult> result : results) {
                assertThat(await(result).outcome()).isEqualTo(Outcome.DONE);
            }
            assertThat(backend.connections).hasSizeLessThanOrEqualTo(ServerConnectionPool.MAX_CONNECTIONS);
        }
    }

    @Nested
    class Leases {
        /** Guards against delivering a late response to the next task on the same connection. */
        @Test
        void lateResponseIsNotDeliveredToAnotherTask() throws Exception {
            CompletableFuture<HttpServerRequest> held = new CompletableFuture<>();
            backend.onTask = held::complete;
            assertThat(await(start(100)).outcome()).isEqualTo(Outcome.UNKNOWN);
            backend.onTask = FakeBackend::done;
            CompletableFuture<AttemptResult> second = start(LONG_LEASE_MILLIS);
            HttpServerRequest late = held.get(5, TimeUnit.SECONDS);
            if (!late.response().closed()) {
                FakeBackend.done(late);
            }
            assertThat(await(second).result()).isEqualTo("t2");
            assertThat(backend.connections).hasSize(2);
        }

        /** Guards against waiting for a connection beyond the lease, and against reporting the attempt as unknown. */
        @Test
        void attemptWithoutConnectionIsNotSent() throws Exception {
            backend.onTask = request -> {};
            for (int i = 0; i < ServerConnectionPool.MAX_CONNECTIONS; i++) {
                CompletableFuture<AttemptResult> unanswered = start(LONG_LEASE_MILLIS);
                assertThat(unanswered).isNotDone();
            }
            assertThat(await(start(100)).outcome()).isEqualTo(Outcome.NOT_SENT);
        }
    }

    @Nested
    class UnresponsiveConnections {
        private HttpConnection openTwo() throws Exception {
            CountDownLatch both = new CountDownLatch(2);
            List<HttpServerRequest> held = new ArrayList<>();
            backend.onTask = request -> {
                held.add(request);
                both.countDown();
                if (held.size() == 2) {
                    held.forEach(FakeBackend::done);
                }
            };
            CompletableFuture<AttemptResult> first = start(LONG_LEASE_MILLIS);
            await(start(LONG_LEASE_MILLIS));
            await(first);
            backend.onTask = FakeBackend::done;
            return held.get(0).connection();
        }

        /** Guards against sending tasks on idle connections that became unresponsive together with a busy one. */
        @Test
        void idleOnesAreReplacedWhenANewOneResponds() throws Exception {
            openTwo();
            Set<HttpConnection> old = Set.copyOf(backend.connections);
            backend.silent.addAll(old);
            CompletableFuture<AttemptResult> overdue = start(LONG_LEASE_MILLIS);
            while (backend.requests.size() < 3) {
                Thread.sleep(5);
            }
            clockOffsetNanos.addAndGet(ServerConnectionPool.MIN_SUSPECT_NANOS);
            while (!backend.requests.contains("GET /health")) {
                Thread.sleep(5);
            }
            Thread.sleep(100);
            assertThat(await(start(LONG_LEASE_MILLIS)).outcome()).isEqualTo(Outcome.DONE);
            assertThat(overdue).as("a request in flight is not aborted").isNotDone();
        }

        /** Guards against sending a task on a connection that may have been lost while it was idle. */
        @Test
        void oneIdleForLongIsCheckedBeforeReuse() throws Exception {
            await(start(LONG_LEASE_MILLIS));
            backend.silent.addAll(backend.connections);
            clockOffsetNanos.addAndGet(ServerConnectionPool.IDLE_CHECK_AFTER_NANOS);
            assertThat(await(start(LONG_LEASE_MILLIS)).outcome()).isEqualTo(Outcome.DONE);
            assertThat(backend.requests).contains("GET /health");
        }
    }

    @Nested
    class StopRequests {
        /** Guards against leaving a cancelled task running on the server. */
        @Test
        void sendDeleteForARunningAttempt() throws Exception {
            CountDownLatch arrived = new CountDownLatch(1);
            backend.onTask = request -> arrived.countDown();
            TaskAttempt attempt = attempt(LONG_LEASE_MILLIS);
            CompletableFuture<AttemptResult> running = start(attempt);
            assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
            context.runOnContext(unused -> client.stop(attempt));
            while (!backend.requests.contains("DELETE /tasks/" + JOB.incarnation() + "-1")) {
                Thread.sleep(5);
            }
            assertThat(running).isNotDone();
        }

        /** Guards against queueing stop requests behind task requests and taking connections from later tasks. */
        @Test
        void areDiscardedWhenEveryConnectionIsBusy() throws Exception {
            List<HttpServerRequest> open = new CopyOnWriteArrayList<>();
            backend.onTask = open::add;
            List<TaskAttempt> attempts = new ArrayList<>();
            for (int i = 0; i < ServerConnectionPool.MAX_CONNECTIONS; i++) {
                attempts.add(attempt(LONG_LEASE_MILLIS));
                var unused = start(attempts.get(i));
            }
            while (open.size() < ServerConnectionPool.MAX_CONNECTIONS) {
                Thread.sleep(5);
            }
            attempts.forEach(attempt -> context.runOnContext(unused -> client.stop(attempt)));
            CompletableFuture<AttemptResult> next = start(LONG_LEASE_MILLIS);
            backend.onTask = FakeBackend::done;
            open.forEach(FakeBackend::done);
            assertThat(await(next).outcome()).isEqualTo(Outcome.DONE);
            assertThat(backend.requests).noneMatch(line -> line.startsWith("DELETE"));
        }
    }
}
