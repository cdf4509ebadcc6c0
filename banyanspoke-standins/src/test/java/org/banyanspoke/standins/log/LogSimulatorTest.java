package org.banyanspoke.standins.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpTimeoutException;
import org.banyanspoke.standins.Deployments;
import org.banyanspoke.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LogSimulatorTest {
    private final Vertx vertx = Vertx.vertx();
    private final TestHttpClient http = new TestHttpClient();
    private LogSimulator log;

    @BeforeEach
    void start() throws Exception {
        log = Deployments.start(vertx, new LogSimulator(LogOptions.DEFAULT, 0, 0));
    }

    @AfterEach
    void stop() throws Exception {
        Deployments.await(vertx.close());
    }

    private int append(String body) throws IOException, InterruptedException {
        return http.post(log.port(), "/records", body).statusCode();
    }

    private void changeOptions(String patch) throws IOException, InterruptedException {
        assertThat(http.post(log.controlPort(), "/options", patch).statusCode()).isEqualTo(200);
    }

    @Nested
    class Records {
        /** Guards against records that are read in a different order or format than they were appended. */
        @Test
        void areReadFromAnOffset() throws Exception {
            append("{\"n\":1}");
            append("{\"n\":2}");
            assertThat(http.get(log.port(), "/records?from=1&max=10").body())
                    .isEqualTo("{\"firstOffset\":0,\"nextOffset\":2,\"records\":[{\"offset\":1,\"body\":{\"n\":2}}]}");
        }

        /** Guards against a reader that skips records after a page limited by {@code max}. */
        @Test
        void arePagedWithoutGaps() throws Exception {
            append("{}");
            append("{}");
            assertThat(http.getJson(log.port(), "/records?from=0&max=1")
                            .get("nextOffset")
                            .asInt())
                    .isEqualTo(1);
        }

        /** Guards against a log that never expires records, which would hide a missing snapshot. */
        @Test
        void expireByCount() throws Exception {
            changeOptions("{\"keepRecords\":1}");
            append("{}");
            append("{}");
            var response = http.get(log.port(), "/records?from=0&max=10");
            assertThat(response.statusCode()).isEqualTo(410);
            assertThat(response.body()).isEqualTo("{\"firstOffset\":1,\"nextOffset\":2}");
        }

        /** Guards against records that are readable after their retention time. */
        @Test
        void expireByAge() throws Exception {
            append("{}");
            changeOptions("{\"keepMillis\":20}");
            Thread.sleep(60);
            assertThat(http.get(log.port(), "/records?from=0&max=10").statusCode())
                    .isEqualTo(410);
        }

        /** Guards against a record that is not valid JSON, on which every reader would fail. */
        @Test
        void mustBeJson() throws Exception {
            assertThat(append("{")).isEqualTo(400);
        }
    }

    @Nested
    class Counts {
        /** Guards against benchmarks that omit the log reads of a recovery from its cost. */
        @Test
        void includeTheBytesOfReads() throws Exception {
            append("{\"n\":1}");
            int length = http.get(log.port(), "/records?from=0").body().length();
            assertThat(http.getJson(log.controlPort(), "/counts")
                            .get("readBytes")
                            .asInt())
                    .isEqualTo(length);
        }
    }

    @Nested
    class Limits {
        /** Guards against benchmarks of the log writer without the latency of synchronous writes. */
        @Test
        void delaySynchronousWrites() throws Exception {
            changeOptions("{\"syncMillis\":120}");
            long start = System.nanoTime();
            append("{}");
            assertThat(System.nanoTime() - start).isGreaterThan(119_000_000);
        }

        /** Guards against a slow-platform fault that delays only the writes. */
        @Test
        void delayReadsInSlowMode() throws Exception {
            changeOptions("{\"slowMillis\":120}");
            long start = System.nanoTime();
            http.get(log.port(), "/records?from=0");
            assertThat(System.nanoTime() - start).isGreaterThan(119_000_000);
        }

        /** Guards against an unlimited append rate, which would hide writers that exceed the limit of the platform. */
        @Test
        void rejectAppendsAboveTheRate() throws Exception {
            changeOptions("{\"appendsPerSecond\":1}");
            assertThat(append("{}")).isEqualTo(201);
            assertThat(append("{}")).isEqualTo(429);
        }
    }

    @Nested
    class Faults {
        /** Guards against a lost response that also discards the write. */
        @Test
        void loseTheResponseAfterTheWrite() throws Exception {
            changeOptions("{\"loseAnswers\":1}");
            assertThatThrownBy(() -> append("{\"n\":1}")).isInstanceOf(IOException.class);
            assertThat(append("{\"n\":2}")).isEqualTo(201);
            assertThat(http.getJson(log.port(), "/records?from=0").get("records"))
                    .hasSize(2);
        }

        /** Guards against an outage that still applies writes or that cannot be ended. */
        @Test
        void refuseDuringAnOutage() throws Exception {
            changeOptions("{\"outage\":\"refuse\"}");
            assertThat(append("{}")).isEqualTo(503);
            changeOptions("{\"outage\":\"none\"}");
            assertThat(http.getJson(log.port(), "/records?from=0").get("records"))
                    .isEmpty();
        }

        /** Guards against an outage that leaves connections open or sends a response. */
        @Test
        void closeConnectionsDuringAnOutage() throws Exception {
            changeOptions("{\"outage\":\"close\"}");
            assertThatThrownBy(() -> append("{}")).isInstanceOf(IOException.class);
        }

        /** Guards against a silent outage that responds, which would hide callers without a timeout. */
        @Test
        void staySilentDuringAnOutage() throws Exception {
            changeOptions("{\"outage\":\"silent\"}");
            assertThatThrownBy(() -> append("{}")).isInstanceOf(HttpTimeoutException.class);
        }

        /** Guards against a misspelled option that is silently ignored. */
        @Test
        void rejectUnknownOptions() throws Exception {
            assertThat(http.post(log.controlPort(), "/options", "{\"outtage\":true}")
                            .statusCode())
                    .isEqualTo(400);
        }
    }
}
