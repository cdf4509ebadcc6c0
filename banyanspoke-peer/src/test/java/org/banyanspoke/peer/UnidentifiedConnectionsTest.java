package org.banyanspoke.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.peer.generated.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against clients that are no entry hosts and hold memory and descriptors through the peer port. */
class UnidentifiedConnectionsTest {
    private static final TransportLimits LIMITS = new TransportLimits(1 << 20, 1 << 20, 2_000, 500, 60_000);
    private static final int CLIENT_TIMEOUT_MILLIS = 20_000;
    /** More than the number that may be open without a Hello. */
    private static final int CROWD = 300;

    private final PeerTransport server =
            new PeerTransport(new HostId("server"), new Incarnation(1), LIMITS, FrameFilter.NONE);
    private final PeerTransport client =
            new PeerTransport(new HostId("client"), new Incarnation(2), LIMITS, FrameFilter.NONE);

    @BeforeEach
    void start() throws Exception {
        server.start("127.0.0.1:0");
        client.start("127.0.0.1:0");
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        server.stop();
    }

    private Socket connect() throws IOException {
        String address = server.self().address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
        return socket;
    }

    private static void assertClosed(Socket socket) throws IOException {
        try {
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        } catch (SocketException e) {
            assertThat(e).hasMessageContaining("reset");
        }
    }

    /** A request without a handler gets a failure as its reply. */
    private void assertServesPeers() throws InterruptedException {
        client.request(server.self().address(), Frame.newBuilder(), 10_000)
                .test()
                .await()
                .assertError(error -> error.getMessage().contains("no handler"));
    }

    @Test
    void anUnfinishedFragmentIsLimited() throws Exception {
        try (Socket socket = connect()) {
            byte[] input = new byte[200_000];
            // Length of a fragment of 200,000 bytes, the rest of which never arrives.
            input[1] = 0x03;
            input[2] = 0x0d;
            input[3] = 0x40;
            try {
                socket.getOutputStream().write(input);
            } catch (IOException e) {
                // The server may close the connection while the client sends.
            }
            assertClosed(socket);
        }
        assertServesPeers();
    }

    @Test
    void aSilentConnectionIsClosed() throws Exception {
        try (Socket socket = connect()) {
            assertClosed(socket);
        }
        assertServesPeers();
    }

    @Test
    void aCrowdLosesItsOldestAndPeersAreServed() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            crowd.add(connect());
        }
        assertServesPeers();
        assertClosed(crowd.get(0));
        for (Socket socket : crowd) {
            socket.close();
        }
    }
}
