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
import org.banyanspoke.standins.TestHttpClient;
import org.banyanspoke.standins.VertxFutures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TcpRelayTest {
    private final Vertx vertx = Vertx.vertx();
    private final TestHttpClient http = new TestHttpClient();
    private TcpRelay relay;

    @BeforeEach
    void start() throws Exception {
        NetServer echo = Deployments.await(vertx.createNetServer()
                .connectHandler(socket -> socket.handler(data -> VertxFutures.ignoreFailure(socket.write(data))))
                .listen(0, "127.0.0.1"));
        TcpRelay.Route route = TcpRelay.Route.parse("0=127.0.0.1:" + echo.actualPort());
        relay = Deployments.start(vertx, new TcpRelay(List.of(route), 0));
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

    private void setLinkState(String state) throws IOException, InterruptedException {
        assertThat(http.post(relay.controlPort(), "/links", "{\"state\":\"" + state + "\"}")
                        .statusCode())
                .isEqualTo(200);
    }

    @Nested
    class Links {
        /** Guards against data loss on connections that survive a partition. */
        @Test
        void resumeAfterSilence() throws Exception {
            try (Socket socket = connect()) {
                assertThat(echo(socket, 1)).isEqualTo(1);
                setLinkState("silent");
                assertThatThrownBy(() -> echo(socket, 2)).isInstanceOf(SocketTimeoutException.class);
                setLinkState("open");
                assertThat(socket.getInputStream().read()).isEqualTo(2);
            }
        }

        /** Guards against new connections that bypass a partition. */
        @Test
        void holdNewConnectionsWhileSilent() throws Exception {
            setLinkState("silent");
            try (Socket socket = connect()) {
                assertThatThrownBy(() -> echo(socket, 3)).isInstanceOf(SocketTimeoutException.class);
                setLinkState("open");
                assertThat(socket.getInputStream().read()).isEqualTo(3);
            }
        }

        /** Guards against a reset that leaves existing connections open. */
        @Test
        void closeWhenReset() throws Exception {
            try (Socket socket = connect()) {
                assertThat(echo(socket, 4)).isEqualTo(4);
                setLinkState("reset");
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        }

        /** Guards against state changes of nonexistent links that are silently ignored. */
        @Test
        void mustExist() throws Exception {
            assertThat(http.post(relay.controlPort(), "/links", "{\"ports\":[1],\"state\":\"reset\"}")
                            .statusCode())
                    .isEqualTo(400);
        }
    }
}
