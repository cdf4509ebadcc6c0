package org.banyanspoke.standins.hostlist;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import java.io.IOException;
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
        list = Deployments.start(vertx, new HostListStandin(new HostListOptions(0, false), 0, 0));
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
    class Faults {
        /** Guards against an outage that answers. */
        @Test
        void closeConnectionsDuringAnOutage() throws Exception {
            http.post(list.controlPort(), "/options", "{\"outage\":true}");
            assertThatThrownBy(HostListStandinTest.this::hosts).isInstanceOf(IOException.class);
        }
    }
}
