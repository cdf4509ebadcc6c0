package org.banyanspoke.standins.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpTimeoutException;
import org.banyanspoke.standins.Deployments;
import org.banyanspoke.standins.HttpProbe;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LogStandinTest {
    private final Vertx vertx = Vertx.vertx();
    private final HttpProbe http = new HttpProbe();
    private LogStandin log;

    @BeforeEach
    void start() throws Exception {
        log = Deployments.start(vertx, new LogStandin(LogOptions.DEFAULT, 0, 0));
    }

    @AfterEach
    void stop() throws Exception {
        Deployments.await(vertx.close());
    }

    private int append(String body) throws IOException, InterruptedException {
        return http.post(log.port(), "/records", body).statusCode();
    }

    private void options(String patch) throws IOException, InterruptedException {
        assertThat(http.post(log.controlPort(), "/options", patch).statusCode()).isEqualTo(200);
    }

    @Nested
    class Records {
        /** Guards against records that readers see in another order or shape than they were appended. */
        @Test
        void areReadFromAnOffset() throws Exception {
            append("{\"n\":1}");
            append("{\"n\":2}");
            assertThat(http.get(log.port(), "/records?from=1&max=10").body())
                    .isEqualTo("{\"firstOffset\":0,\"nextOffset\":2,\"records\":[{\"offset\":1,\"body\":{\"n\":2}}]}");
        }

        /** Guards against a reader that skips records after a page that max has cut. */
        @Test
        void arePagedWithoutGaps() throws Exception {
            append("{}");
            append("{}");
            assertThat(http.json(log.port(), "/records?from=0&max=1")
                            .get("nextOffset")
                            .asInt())
                    .isEqualTo(1);
        }

        /** Guards against a log whose old records never go, which would hide a missing snapshot. */
        @Test
        void expireByCount() throws Exception {
            options("{\"keepRecords\":1}");
            append("{}");
            append("{}");
            var response = http.get(log.port(), "/records?from=0&max=10");
            assertThat(response.statusCode()).isEqualTo(410);
            assertThat(response.body()).isEqualTo("{\"firstOffset\":1,\"nextOffset\":2}");
        }

        /** Guards against records that outlive their time. */
        @Test
        void expireByAge() throws Exception {
            append("{}");
            options("{\"keepMillis\":20}");
            Thread.sleep(60);
            assertThat(http.get(log.port(), "/records?from=0&max=10").statusCode())
                    .isEqualTo(410);
        }

        /** Guards against a record that is no JSON and would stop every reader. */
        @Test
        void areJson() throws Exception {
            assertThat(append("{")).isEqualTo(400);
        }
    }

    @Nested
    class Counts {
        /** Guards against a recovery whose reads look free. */
        @Test
        void haveTheBytesOfReads() throws Exception {
            append("{\"n\":1}");
            int length = http.get(log.port(), "/records?from=0").body().length();
            assertThat(http.json(log.controlPort(), "/counts").get("readBytes").asInt())
                    .isEqualTo(length);
        }
    }

    @Nested
    class Speed {
        /** Guards against a writer that is measured against writes that cost nothing. */
        @Test
        void ofASyncedWriteIsLimited() throws Exception {
            options("{\"syncMillis\":120}");
            long start = System.nanoTime();
            append("{}");
            assertThat(System.nanoTime() - start).isGreaterThan(119_000_000);
        }

        /** Guards against a slow platform that only slows the writes. */
        @Test
        void ofReadsIsLimitedInSlowMode() throws Exception {
            options("{\"slowMillis\":120}");
            long start = System.nanoTime();
            http.get(log.port(), "/records?from=0");
            assertThat(System.nanoTime() - start).isGreaterThan(119_000_000);
        }

        /** Guards against a design that needs more appends than the platform takes. */
        @Test
        void ofAppendsIsLimited() throws Exception {
            options("{\"appendsPerSecond\":1}");
            assertThat(append("{}")).isEqualTo(201);
            assertThat(append("{}")).isEqualTo(429);
        }
    }

    @Nested
    class Faults {
        /** Guards against a lost answer that is mistaken for a lost write. */
        @Test
        void loseTheAnswerAfterTheWrite() throws Exception {
            options("{\"loseAnswers\":1}");
            assertThatThrownBy(() -> append("{\"n\":1}")).isInstanceOf(IOException.class);
            assertThat(append("{\"n\":2}")).isEqualTo(201);
            assertThat(http.json(log.port(), "/records?from=0").get("records")).hasSize(2);
        }

        /** Guards against an outage that still applies writes, and one that never ends. */
        @Test
        void refuseDuringAnOutage() throws Exception {
            options("{\"outage\":\"refuse\"}");
            assertThat(append("{}")).isEqualTo(503);
            options("{\"outage\":\"none\"}");
            assertThat(http.json(log.port(), "/records?from=0").get("records")).isEmpty();
        }

        /** Guards against an outage in which connections only seem to close. */
        @Test
        void closeConnectionsDuringAnOutage() throws Exception {
            options("{\"outage\":\"close\"}");
            assertThatThrownBy(() -> append("{}")).isInstanceOf(IOException.class);
        }

        /** Guards against a caller without a time limit. */
        @Test
        void staySilentDuringAnOutage() throws Exception {
            options("{\"outage\":\"silent\"}");
            assertThatThrownBy(() -> append("{}")).isInstanceOf(HttpTimeoutException.class);
        }

        /** Guards against a misspelt fault that silently does nothing. */
        @Test
        void refuseUnknownNames() throws Exception {
            assertThat(http.post(log.controlPort(), "/options", "{\"outtage\":true}")
                            .statusCode())
                    .isEqualTo(400);
        }
    }
}
