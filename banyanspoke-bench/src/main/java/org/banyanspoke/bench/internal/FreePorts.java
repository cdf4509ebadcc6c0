package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports on the loopback interface. */
public final class FreePorts {
    /** The ports lie below the default ephemeral port range of Linux (32768 and up). */
    private static final int MIN_PORT = 12_000;

    private static final int MAX_PORT = 32_000;
    private static final int MAX_ATTEMPTS = 200;

    private FreePorts() {}

    /**
     * Returns the first of the given number of consecutive free ports.
     *
     * @throws IOException if no such ports are found
     */
    public static int findConsecutive(int count) throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int first = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT - count);
            if (allFree(first, count)) {
                return first;
            }
        }
        throw new IOException("no " + count + " consecutive free ports found");
    }

    private static boolean allFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
