package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds free ports on loopback. */
public final class Ports {
    /** Below the range that Linux gives to outgoing connections (32768 and up). */
    private static final int LOWEST = 12_000;

    private static final int HIGHEST = 32_000;
    private static final int MAX_TRIES = 200;

    private Ports() {}

    /**
     * Returns the first of consecutive free ports.
     *
     * @throws IOException if none is found
     */
    public static int block(int count) throws IOException {
        for (int tried = 0; tried < MAX_TRIES; tried++) {
            int first = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST - count);
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
