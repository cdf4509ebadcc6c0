package org.banyanspoke.host.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * Clients that send a fixed input over a connection each, never read a response and keep their connections open. A
 * single thread writes for all of them in turn.
 */
public final class ClientCrowd implements AutoCloseable {
    /** Clients count as blocked once none of them could write anything for this time. */
    private static final long BLOCKED_MILLIS = 3_000;

    private static final long PAUSE_MILLIS = 5;

    private final List<Client> clients = new ArrayList<>();

    /** Input of a client, in parts that are generated as they are needed. */
    public interface Input {
        /** Returns the next part; null at the end of the input. */
        ByteBuffer next();
    }

    private static final class Client {
        private final SocketChannel channel;
        private final Input input;
        private ByteBuffer part = ByteBuffer.allocate(0);

        Client(SocketChannel channel, Input input) {
            this.channel = channel;
            this.input = input;
        }

        /** Writes as much as one part; returns the number of bytes written, or -1 at the end. */
        int write() {
            if (part != null && !part.hasRemaining()) {
                part = input.next();
            }
            if (part == null) {
                return -1;
            }
            try {
                return channel.write(part);
            } catch (IOException e) {
                // The host has closed the connection, which it may do.
                part = null;
                return -1;
            }
        }
    }

    /**
     * Opens the connections.
     *
     * @param port port on the loopback address
     * @param inputs supplies the input of each client
     */
    public ClientCrowd(int port, int count, IntFunction<Input> inputs) throws IOException {
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            channel.configureBlocking(false);
            clients.add(new Client(channel, inputs.apply(i)));
        }
    }

    /** Writes until each client has sent its input, has been disconnected or is blocked. */
    public void send() throws InterruptedException {
        long blockedSinceNanos = System.nanoTime();
        while (System.nanoTime() - blockedSinceNanos < TimeUnit.MILLISECONDS.toNanos(BLOCKED_MILLIS)) {
            int ended = 0;
            long written = 0;
            for (Client client : clients) {
                int bytes = client.write();
                ended += bytes < 0 ? 1 : 0;
                written += Math.max(0, bytes);
            }
            if (ended == clients.size()) {
                return;
            }
            if (written > 0) {
                blockedSinceNanos = System.nanoTime();
            } else {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
    }

    /** Closes all connections. */
    @Override
    public void close() throws IOException {
        for (Client client : clients) {
            client.channel.close();
        }
    }
}
