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
import org.banyanspoke.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BackendFleetTest {
    private static final String SHORT = "{\"runMillis\":1}";
    private static final String LONG = "{\"runMillis\":300}";

    private final Vertx vertx = Vertx.vertx();
    private final TestHttpClient http = new TestHttpClient();

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

    private void changeOptions(String patch) throws IOException, InterruptedException {
        assertThat(http.post(fleet.controlPort(), "/options?servers=0", patch).statusCode())
                .isEqualTo(200);
    }

    private HttpResponse<String> submitTask(String attempt, String body, String... headers) throws Exception {
        return http.submitTask(port, attempt, body, headers).get(10, TimeUnit.SECONDS);
    }

    private long ledgerCount(String pointer) throws IOException, InterruptedException {
        return http.getJson(fleet.controlPort(), "/ledger").at(pointer).asLong();
    }

    private long measureMillis(String attempt, String body) throws Exception {
        long start = System.nanoTime();
        submitTask(attempt, body);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    @Nested
    class Tasks {
        /** Guards against responses without the attempt id or the load metrics that the dispatcher needs. */
        @Test
        void echoTheirAttemptAndReportLoad() throws Exception {
            HttpResponse<String> response = submitTask("a", SHORT);
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("t-a");
            assertThat(response.headers().firstValue("Task-Attempt")).contains("a");
            assertThat(response.headers().firstValue("Server-State")).contains("in_service");
            assertThat(response.headers().firstValue("endpoint-load-metrics"))
                    .contains("TEXT named_metrics.running=0, named_metrics.queued=0, named_metrics.slots=8");
        }

        /** Guards against a server that runs more concurrent tasks than it has slots. */
        @Test
        void waitForASlot() throws Exception {
            changeOptions("{\"slots\":1}");
            CompletableFuture<?> first = http.submitTask(port, "a", LONG);
            CompletableFuture<?> second = http.submitTask(port, "b", LONG);
            long start = System.nanoTime();
            CompletableFuture.allOf(first, second).get(10, TimeUnit.SECONDS);
            assertThat(System.nanoTime() - start).isGreaterThan(550_000_000);
        }

        /** Guards against a speed setting that has no effect on run times. */
        @Test
        void takeLongerOnASlowServer() throws Exception {
            changeOptions("{\"speed\":0.25}");
            assertThat(measureMillis("a", "{\"runMillis\":100}")).isGreaterThanOrEqualTo(399);
        }

        /** Guards against throughput benchmarks that are limited by the simulated servers. */
        @Test
        void takeNoTimeInInstantMode() throws Exception {
            changeOptions("{\"instant\":true}");
            assertThat(submitTask("a", "{\"runMillis\":60000}").statusCode()).isEqualTo(200);
        }

        /** Guards against tasks that continue to run after their owner has failed. */
        @Test
        void stopWhenTheLeaseExpires() throws Exception {
            assertThat(submitTask("a", "{\"runMillis\":60000}", "Task-Lease-Millis", "50")
                            .statusCode())
                    .isEqualTo(500);
            assertThat(ledgerCount("/outcomes/LEASE_EXPIRED")).isEqualTo(1);
        }

        /** Guards against cancelled tasks that keep their slot. */
        @Test
        void stopOnDelete() throws Exception {
            CompletableFuture<HttpResponse<String>> task = http.submitTask(port, "a", "{\"runMillis\":60000}");
            while (ledgerCount("/starts") == 0) {
                Thread.sleep(5);
            }
            assertThat(http.delete(port, "/tasks/a").statusCode()).isEqualTo(204);
            assertThat(task.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(500);
            assertThat(ledgerCount("/outcomes/STOPPED")).isEqualTo(1);
        }
    }

    @Nested
    class Network {
        /** Guards against a delay that applies to only one direction. */
        @Test
        void delaysRequestsAndResponsesBetweenZones() throws Exception {
            String zones = "{\"delayMicros\":200000,\"serverZones\":[\"z2\",\"z1\"],\"hostZones\":{\"h1\":\"z1\"}}";
            assertThat(http.post(fleet.controlPort(), "/zones", zones).statusCode())
                    .isEqualTo(200);
            long start = System.nanoTime();
            submitTask("a", SHORT, "Job-Id", "h1~127.0.0.1:1~0~0~0~0");
            assertThat(System.nanoTime() - start).isGreaterThan(398_000_000);
        }
    }

    @Nested
    class LedgerEntries {
        /** Guards against duplicate starts that are not detected. */
        @Test
        void countDuplicateStarts() throws Exception {
            http.submitTask(port, "a", SHORT, "Task-Id", "t-a").get(10, TimeUnit.SECONDS);
            submitTask("a", SHORT);
            submitTask("b", SHORT);
            assertThat(ledgerCount("/starts")).isEqualTo(3);
            assertThat(ledgerCount("/duplicateStarts")).isEqualTo(1);
            assertThat(http.get(fleet.controlPort(), "/ledger/job?id=j").body()).isEqualTo("{\"t-a\":2,\"t-b\":1}");
        }

        /** Guards against missing lines in the ledger file. */
        @Test
        void areWrittenForEachStartAndFinish() throws Exception {
            submitTask("a", SHORT);
            http.post(fleet.controlPort(), "/flush", "");
            List<String> lines = Files.readAllLines(directory.resolve("ledger"));
            assertThat(lines).hasSize(2);
            assertThat(lines.get(0)).startsWith("{\"event\":\"start\",\"server\":\"b0\",\"jobId\":\"j\"");
            assertThat(lines.get(1)).endsWith("\"outcome\":\"DONE\"}");
        }
    }

    @Nested
    class Faults {
        /** Guards against failures that are reported as if the task had not started. */
        @Test
        void failAFractionOfTheTasks() throws Exception {
            changeOptions("{\"errorFraction\":1.0}");
            HttpResponse<String> response = submitTask("a", SHORT);
            assertThat(response.statusCode()).isEqualTo(500);
            assertThat(response.headers().firstValue("Task-Started")).isEmpty();
        }

        /** Guards against a failing server that responds slowly and thus would not attract load. */
        @Test
        void failEverythingQuickly() throws Exception {
            changeOptions("{\"failEverything\":true}");
            assertThat(measureMillis("a", "{\"runMillis\":4000}")).isLessThan(2_000);
            assertThat(ledgerCount("/outcomes/FAILED")).isEqualTo(1);
        }

        /** Guards against stragglers that run at normal speed. */
        @Test
        void delayStragglers() throws Exception {
            changeOptions("{\"stragglerFraction\":1.0,\"stragglerFactor\":4}");
            assertThat(measureMillis("a", "{\"runMillis\":100}")).isGreaterThanOrEqualTo(399);
        }

        /** Guards against a frozen server that still starts tasks or that loses them. */
        @Test
        void deferRequestsWhileFrozen() throws Exception {
            changeOptions("{\"frozen\":true}");
            CompletableFuture<HttpResponse<String>> task = http.submitTask(port, "a", SHORT);
            Thread.sleep(100);
            assertThat(ledgerCount("/starts")).isZero();
            changeOptions("{\"frozen\":false}");
            assertThat(task.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        }

        /** Guards against a silence fault that also affects new connections, or that still starts tasks. */
        @Test
        void silenceOpenConnectionsOnly() throws Exception {
            submitTask("a", SHORT);
            http.post(fleet.controlPort(), "/silence?servers=0", "");
            assertThatThrownBy(() -> submitTask("b", SHORT)).hasMessageContaining("timed out");
            assertThat(new TestHttpClient().get(port, "/health").statusCode()).isEqualTo(200);
            assertThat(ledgerCount("/starts")).isEqualTo(1);
        }

        /** Guards against a leaving server that starts a task although it responds that it did not. */
        @Test
        void refuseTasksWhenLeaving() throws Exception {
            changeOptions("{\"leaving\":true}");
            HttpResponse<String> response = submitTask("a", SHORT);
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Task-Started")).contains("false");
            assertThat(response.headers().firstValue("Server-State")).contains("leaving");
            assertThat(ledgerCount("/starts")).isZero();
        }

        /** Guards against a port or tasks that survive a crash, and an incarnation id that survives the restart. */
        @Test
        void crashAndRestart() throws Exception {
            String before = submitTask("a", SHORT)
                    .headers()
                    .firstValue("Server-Incarnation")
                    .orElseThrow();
            CompletableFuture<HttpResponse<String>> running = http.submitTask(port, "b", "{\"runMillis\":60000}");
            while (ledgerCount("/starts") < 2) {
                Thread.sleep(5);
            }
            changeOptions("{\"down\":true}");
            assertThatThrownBy(() -> running.get(10, TimeUnit.SECONDS)).hasCauseInstanceOf(IOException.class);
            assertThatThrownBy(() -> submitTask("c", SHORT)).hasCauseInstanceOf(ConnectException.class);
            changeOptions("{\"down\":false}");
            assertThat(submitTask("d", SHORT)
                            .headers()
                            .firstValue("Server-Incarnation")
                            .orElseThrow())
                    .isNotEqualTo(before);
        }

        /** Guards against a connection limit without effect, which would hide a dispatcher that opens too many. */
        @Test
        void refuseConnectionsBeyondTheLimit() throws Exception {
            changeOptions("{\"connections\":2}");
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
