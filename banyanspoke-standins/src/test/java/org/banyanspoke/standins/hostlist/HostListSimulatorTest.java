package org.banyanspoke.standins.hostlist;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import org.banyanspoke.standins.Deployments;
import org.banyanspoke.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HostListSimulatorTest {
    private static final String ONE_HOST = "{\"hosts\":[{\"id\":\"h1\",\"role\":\"entry\",\"state\":\"live\"}]}";

    private final Vertx vertx = Vertx.vertx();
    private final TestHttpClient http = new TestHttpClient();
    private HostListSimulator list;

    @BeforeEach
    void start() throws Exception {
        list = Deployments.start(vertx, new HostListSimulator(new HostListOptions(0, false, true), 0, 0));
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
        /** Guards against changes that are visible sooner than in the list of the platform. */
        @Test
        void delaysTheVisibilityOfChanges() throws Exception {
            http.post(list.controlPort(), "/options", "{\"lagMillis\":400}");
            http.post(list.controlPort(), "/hosts", ONE_HOST);
            assertThat(hosts()).isEqualTo("{\"hosts\":[]}");
            Thread.sleep(450);
            assertThat(hosts()).isEqualTo(ONE_HOST);
        }
    }

    @Nested
    class EntityTags {
        /** Guards against a 304 response for a changed list, and against a body for an unchanged one. */
        @Test
        void omitTheBodyOfAnUnchangedList() throws Exception {
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

        /** Guards against an option without effect, which would hide clients that require entity tags. */
        @Test
        void canBeDisabled() throws Exception {
            http.post(list.controlPort(), "/options", "{\"entityTags\":false}");
            assertThat(http.get(list.port(), "/hosts").headers().firstValue("ETag"))
                    .isEmpty();
        }
    }

    @Nested
    class Faults {
        /** Guards against an outage during which requests are answered. */
        @Test
        void closeConnectionsDuringAnOutage() throws Exception {
            http.post(list.controlPort(), "/options", "{\"outage\":true}");
            assertThatThrownBy(HostListSimulatorTest.this::hosts).isInstanceOf(IOException.class);
        }
    }
}
