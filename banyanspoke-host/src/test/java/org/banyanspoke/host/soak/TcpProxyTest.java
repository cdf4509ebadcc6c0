package org.banyanspoke.host.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.host.soak.TcpProxy.Mode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that the proxy leaves open with nobody behind them, which the soak reports as a fault. */
class TcpProxyTest {
    private static final int CONNECTIONS = 200;
    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket target;
    private TcpProxy proxy;

    @BeforeEach
    void start() throws Exception {
        target = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress());
        proxy = new TcpProxy(vertx, target.getLocalPort());
        proxy.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket each : sockets) {
            each.close();
        }
        target.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        sockets.add(socket);
        return socket;
    }

    private static boolean isClosedByPeer(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Soak seed 10: a host was killed between the connection to it and the handlers of the proxy. */
    @Test
    void closesAConnectionWhoseTargetClosesAtOnce() throws Exception {
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = connect();
            target.accept().close();
            assertThat(isClosedByPeer(socket)).as("connection %s", i).isTrue();
        }
    }

    @Test
    void closesAConnectionThatItsTargetResets() throws Exception {
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = connect();
            socket.getOutputStream().write(1);
            Socket accepted = target.accept();
            accepted.setSoLinger(true, 0);
            accepted.close();
            assertThat(isClosedByPeer(socket)).as("connection %s", i).isTrue();
        }
    }

    /** The same with a connection that is established while requests are blocked. */
    @Test
    void closesABlockedConnectionWhoseTargetCloses() throws Exception {
        proxy.setMode(Mode.REQUESTS_BLOCKED);
        Socket socket = connect();
        target.accept().close();
        assertThat(isClosedByPeer(socket)).isTrue();
    }

    @Test
    void closesAConnectionToATargetThatIsGone() throws Exception {
        target.close();
        assertThat(isClosedByPeer(connect())).isTrue();
    }

    /** Soak seed 10: the request was sent while its host was down, and the caller waited for 5 s. */
    @Test
    void closesAConnectionWithDataToATargetThatIsGone() throws Exception {
        target.close();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket socket = connect();
            socket.getOutputStream().write(new byte[300]);
            assertThat(isClosedByPeer(socket)).as("connection %s", i).isTrue();
        }
    }
}
