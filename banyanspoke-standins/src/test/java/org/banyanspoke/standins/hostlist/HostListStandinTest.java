package org.banyanspoke.standins.hostlist;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import org.banyanspoke.standins.Deployments;
import org.banyanspoke.standins.HttpProbe;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HostListStandinTest {
    private static final String ONE_HOST = "{\"hosts\":[{\"id\":\"h1\",\"role\":\"entry\",\"state\":\"live\"}]}";

    private final Vertx vertx = Vertx.vertx();
    private final HttpProbe http = new HttpProbe();
    private HostListStandin list;

    @BeforeEach
    void start() throws Exception {
        list = Deployments.start(vertx, new HostListStandin(new HostListOptions(0, false, true), 0, 0));
    }

    @AfterEach
    void stop() throws Exception {
        Deployments.await(vertx.close());
    }

    private String hosts() throws IOException, InterruptedException {
        return http.get(list.port(), "/hosts").body();
    }

    @Nested
    class Lag {
        /** Guards against a list that is more current than the platform's. */
        @Test
        void hidesAChangeUntilItHasPassed() throws Exception {
            http.post(list.controlPort(), "/options", "{\"lagMillis\":400}");
            http.post(list.controlPort(), "/hosts", ONE_HOST);
            assertThat(hosts()).isEqualTo("{\"hosts\":[]}");
            Thread.sleep(450);
            assertThat(hosts()).isEqualTo(ONE_HOST);
        }
    }

    @Nested
    class EntityTags {
        /** Guards against 304 for a list that has changed, and against a body for one that has not. */
        @Test
        void unchangedListIsNotSentAgain() throws Exception {
            http.post(list.controlPort(), "/hosts", ONE_HOST);
            String entityTag =
                    http.get(list.port(), "/hosts").headers().firstValue("ETag").orElseThrow();
            HttpResponse<String> unchanged = http.get(list.port(), "/hosts", "If-None-Match", entityTag);
            assertThat(unchanged.statusCode()).isEqualTo(304);
            assertThat(unchanged.body()).isEmpty();
            http.post(list.controlPort(), "/hosts", "{\"hosts\":[]}");
            assertThat(http.get(list.port(), "/hosts", "If-None-Match", entityTag)
                            .body())
                    .isEqualTo("{\"hosts\":[]}");
        }

        /** Guards against an option that leaves clients without a platform that sends no tags. */
        @Test
        void canBeTurnedOff() throws Exception {
            http.post(list.controlPort(), "/options", "{\"entityTags\":false}");
            assertThat(http.get(list.port(), "/hosts").headers().firstValue("ETag"))
                    .isEmpty();
        }
    }

    @Nested
    class Faults {
        /** Guards against an outage that answers. */
        @Test
        void closeConnectionsDuringAnOutage() throws Exception {
            http.post(list.controlPort(), "/options", "{\"outage\":true}");
            assertThatThrownBy(HostListStandinTest.this::hosts).isInstanceOf(IOException.class);
        }
    }
}
