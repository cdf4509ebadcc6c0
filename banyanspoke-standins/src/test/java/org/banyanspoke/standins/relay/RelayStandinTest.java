package org.banyanspoke.standins.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import org.banyanspoke.standins.Deployments;
import org.banyanspoke.standins.Exchanges;
import org.banyanspoke.standins.HttpProbe;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayStandinTest {
    private final Vertx vertx = Vertx.vertx();
    private final HttpProbe http = new HttpProbe();
    private RelayStandin relay;

    @BeforeEach
    void start() throws Exception {
        NetServer echo = Deployments.await(vertx.createNetServer()
                .connectHandler(socket -> socket.handler(data -> Exchanges.ignore(socket.write(data))))
                .listen(0, "127.0.0.1"));
        RelayStandin.Route route = RelayStandin.Route.parse("0=127.0.0.1:" + echo.actualPort());
        relay = Deployments.start(vertx, new RelayStandin(List.of(route), 0));
    }

    @AfterEach
    void stop() throws Exception {
        Deployments.await(vertx.close());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", relay.ports().get(0));
        socket.setSoTimeout(300);
        return socket;
    }

    private static int echo(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    private void set(String state) throws IOException, InterruptedException {
        assertThat(http.post(relay.controlPort(), "/links", "{\"state\":\"" + state + "\"}")
                        .statusCode())
                .isEqualTo(200);
    }

    @Nested
    class Links {
        /** Guards against a partition that loses bytes of connections that survive it. */
        @Test
        void continueAfterASilence() throws Exception {
            try (Socket socket = connect()) {
                assertThat(echo(socket, 1)).isEqualTo(1);
                set("silent");
                assertThatThrownBy(() -> echo(socket, 2)).isInstanceOf(SocketTimeoutException.class);
                set("open");
                assertThat(socket.getInputStream().read()).isEqualTo(2);
            }
        }

        /** Guards against a partition that new connections pass. */
        @Test
        void holdNewConnectionsWhileSilent() throws Exception {
            set("silent");
            try (Socket socket = connect()) {
                assertThatThrownBy(() -> echo(socket, 3)).isInstanceOf(SocketTimeoutException.class);
                set("open");
                assertThat(socket.getInputStream().read()).isEqualTo(3);
            }
        }

        /** Guards against a cut that leaves old connections working. */
        @Test
        void closeWhenReset() throws Exception {
            try (Socket socket = connect()) {
                assertThat(echo(socket, 4)).isEqualTo(4);
                set("reset");
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }

        /** Guards against a cut of a link that does not exist. */
        @Test
        void mustExist() throws Exception {
            assertThat(http.post(relay.controlPort(), "/links", "{\"ports\":[1],\"state\":\"reset\"}")
                            .statusCode())
                    .isEqualTo(400);
        }
    }
}
