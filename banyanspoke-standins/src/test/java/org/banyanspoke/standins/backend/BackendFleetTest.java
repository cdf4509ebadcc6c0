package org.banyanspoke.standins.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.standins.Deployments;
import org.banyanspoke.standins.HttpProbe;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BackendFleetTest {
    private static final String SHORT = "{\"runMillis\":1}";
    private static final String LONG = "{\"runMillis\":300}";

    private final Vertx vertx = Vertx.vertx();
    private final HttpProbe http = new HttpProbe();

    @TempDir
    private Path directory;

    private BackendFleet fleet;
    private int port;

    @BeforeEach
    void start() throws Exception {
        Ledger ledger = new Ledger(directory.resolve("ledger"));
        fleet = Deployments.start(
                vertx, new BackendFleet(Collections.nCopies(2, ServerOptions.DEFAULT), 0, 0, ledger, 1));
        port = fleet.servers().get(0).port();
    }

    @AfterEach
    void stop() throws Exception {
        Deployments.await(vertx.close());
    }

    private void options(String patch) throws IOException, InterruptedException {
        assertThat(http.post(fleet.controlPort(), "/options?servers=0", patch).statusCode())
                .isEqualTo(200);
    }

    private HttpResponse<String> task(String attempt, String body, String... headers) throws Exception {
        return http.task(port, attempt, body, headers).get(10, TimeUnit.SECONDS);
    }

    private long ledger(String pointer) throws IOException, InterruptedException {
        return http.json(fleet.controlPort(), "/ledger").at(pointer).asLong();
    }

    private long millisOf(String attempt, String body) throws Exception {
        long start = System.nanoTime();
        task(attempt, body);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    @Nested
    class Tasks {
        /** Guards against responses that the dispatcher cannot match or learn from. */
        @Test
        void echoTheirAttemptAndReportLoad() throws Exception {
            HttpResponse<String> response = task("a", SHORT);
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("t-a");
            assertThat(response.headers().firstValue("Task-Attempt")).contains("a");
            assertThat(response.headers().firstValue("Server-State")).contains("in_service");
            assertThat(response.headers().firstValue("endpoint-load-metrics"))
                    .contains("TEXT named_metrics.running=0, named_metrics.queued=0, named_metrics.slots=8");
        }

        /** Guards against a server that runs more than its slots at once. */
        @Test
        void waitForASlot() throws Exception {
            options("{\"slots\":1}");
            CompletableFuture<?> first = http.task(port, "a", LONG);
            CompletableFuture<?> second = http.task(port, "b", LONG);
            long start = System.nanoTime();
            CompletableFuture.allOf(first, second).get(10, TimeUnit.SECONDS);
            assertThat(System.nanoTime() - start).isGreaterThan(550_000_000);
        }

        /** Guards against speeds that have no effect. */
        @Test
        void takeLongerOnASlowServer() throws Exception {
            options("{\"speed\":0.25}");
            assertThat(millisOf("a", "{\"runMillis\":100}")).isGreaterThanOrEqualTo(399);
        }

        /** Guards against throughput that is limited by the simulated servers. */
        @Test
        void takeNoTimeInInstantMode() throws Exception {
            options("{\"instant\":true}");
            assertThat(task("a", "{\"runMillis\":60000}").statusCode()).isEqualTo(200);
        }

        /** Guards against tasks that run on after their owner has gone. */
        @Test
        void stopWhenTheLeaseExpires() throws Exception {
            assertThat(task("a", "{\"runMillis\":60000}", "Task-Lease-Millis", "50")
                            .statusCode())
                    .isEqualTo(500);
            assertThat(ledger("/outcomes/LEASE_EXPIRED")).isEqualTo(1);
        }

        /** Guards against cancelled tasks that hold their slot. */
        @Test
        void stopOnDelete() throws Exception {
            CompletableFuture<HttpResponse<String>> task = http.task(port, "a", "{\"runMillis\":60000}");
            while (ledger("/starts") == 0) {
                Thread.sleep(5);
            }
            assertThat(http.delete(port, "/tasks/a").statusCode()).isEqualTo(204);
            assertThat(task.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(500);
            assertThat(ledger("/outcomes/STOPPED")).isEqualTo(1);
        }
    }

    @Nested
    class Network {
        /** Guards against a delay that only one direction takes. */
        @Test
        void delaysRequestsAndResponsesBetweenZones() throws Exception {
            String zones = "{\"delayMicros\":200000,\"serverZones\":[\"z2\",\"z1\"],\"hostZones\":{\"h1\":\"z1\"}}";
            assertThat(http.post(fleet.controlPort(), "/zones", zones).statusCode())
                    .isEqualTo(200);
            long start = System.nanoTime();
            task("a", SHORT, "Job-Id", "h1~127.0.0.1:1~0~0~0~0");
            assertThat(System.nanoTime() - start).isGreaterThan(398_000_000);
        }
    }

    @Nested
    class LedgerOfStarts {
        /** Guards against a second start that goes unnoticed. */
        @Test
        void findsDuplicates() throws Exception {
            http.task(port, "a", SHORT, "Task-Id", "t-a").get(10, TimeUnit.SECONDS);
            task("a", SHORT);
            task("b", SHORT);
            assertThat(ledger("/starts")).isEqualTo(3);
            assertThat(ledger("/duplicateStarts")).isEqualTo(1);
            assertThat(http.get(fleet.controlPort(), "/ledger/job?id=j").body()).isEqualTo("{\"t-a\":2,\"t-b\":1}");
        }

        /** Guards against a history with missing lines. */
        @Test
        void hasALineForEachStartAndFinish() throws Exception {
            task("a", SHORT);
            http.post(fleet.controlPort(), "/flush", "");
            List<String> lines = Files.readAllLines(directory.resolve("ledger"));
            assertThat(lines).hasSize(2);
            assertThat(lines.get(0)).startsWith("{\"event\":\"start\",\"server\":\"b0\",\"jobId\":\"j\"");
            assertThat(lines.get(1)).endsWith("\"outcome\":\"DONE\"}");
        }
    }

    @Nested
    class Faults {
        /** Guards against errors that are not reported as a failure after the start. */
        @Test
        void failAShareOfTheTasks() throws Exception {
            options("{\"errorFraction\":1.0}");
            HttpResponse<String> response = task("a", SHORT);
            assertThat(response.statusCode()).isEqualTo(500);
            assertThat(response.headers().firstValue("Task-Started")).isEmpty();
        }

        /** Guards against a broken server that is slow, which would not attract work. */
        @Test
        void failEverythingQuickly() throws Exception {
            options("{\"failEverything\":true}");
            assertThat(millisOf("a", "{\"runMillis\":4000}")).isLessThan(2_000);
            assertThat(ledger("/outcomes/FAILED")).isEqualTo(1);
        }

        /** Guards against stragglers that run at normal speed. */
        @Test
        void delayStragglers() throws Exception {
            options("{\"stragglerFraction\":1.0,\"stragglerFactor\":4}");
            assertThat(millisOf("a", "{\"runMillis\":100}")).isGreaterThanOrEqualTo(399);
        }

        /** Guards against a frozen server that still starts work, or loses it. */
        @Test
        void freezeAndThaw() throws Exception {
            options("{\"frozen\":true}");
            CompletableFuture<HttpResponse<String>> task = http.task(port, "a", SHORT);
            Thread.sleep(100);
            assertThat(ledger("/starts")).isZero();
            options("{\"frozen\":false}");
            assertThat(task.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        }

        /** Guards against a silence that also hits new connections, or that starts work. */
        @Test
        void silenceOpenConnectionsOnly() throws Exception {
            task("a", SHORT);
            http.post(fleet.controlPort(), "/silence?servers=0", "");
            assertThatThrownBy(() -> task("b", SHORT)).hasMessageContaining("timed out");
            assertThat(new HttpProbe().get(port, "/health").statusCode()).isEqualTo(200);
            assertThat(ledger("/starts")).isEqualTo(1);
        }

        /** Guards against a leaving server that starts work it says it refused. */
        @Test
        void refuseWhenLeaving() throws Exception {
            options("{\"leaving\":true}");
            HttpResponse<String> response = task("a", SHORT);
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Task-Started")).contains("false");
            assertThat(response.headers().firstValue("Server-State")).contains("leaving");
            assertThat(ledger("/starts")).isZero();
        }

        /** Guards against a dead server that keeps its port, its tasks or its incarnation. */
        @Test
        void goDownAndReturn() throws Exception {
            String before =
                    task("a", SHORT).headers().firstValue("Server-Incarnation").orElseThrow();
            CompletableFuture<HttpResponse<String>> running = http.task(port, "b", "{\"runMillis\":60000}");
            while (ledger("/starts") < 2) {
                Thread.sleep(5);
            }
            options("{\"down\":true}");
            assertThatThrownBy(() -> running.get(10, TimeUnit.SECONDS)).hasCauseInstanceOf(IOException.class);
            assertThatThrownBy(() -> task("c", SHORT)).hasCauseInstanceOf(ConnectException.class);
            options("{\"down\":false}");
            assertThat(task("d", SHORT)
                            .headers()
                            .firstValue("Server-Incarnation")
                            .orElseThrow())
                    .isNotEqualTo(before);
        }

        /** Guards against a dispatcher that opens more connections than a server takes. */
        @Test
        void refuseConnectionsBeyondTheLimit() throws Exception {
            options("{\"connections\":2}");
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                sockets.add(new Socket("127.0.0.1", port));
            }
            sockets.get(2).setSoTimeout(2_000);
            assertThat(sockets.get(2).getInputStream().read()).isEqualTo(-1);
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
