package org.banyanspoke.peer;

/**
 * Limits of a transport.
 *
 * @param maxFrameBytes largest frame without its length prefix
 * @param maxQueuedBytes bytes that may wait to be written to one peer; further requests fail at once
 * @param connectTimeoutMillis limit for opening a connection, including the exchange of identities
 * @param silenceMillis a connection on which nothing arrives for this long after a write is sent a heartbeat, and is
 *     closed if nothing arrives for as long again
 * @param idleTimeoutMillis an unused connection is closed after this time
 */
public record TransportLimits(
        int maxFrameBytes, long maxQueuedBytes, int connectTimeoutMillis, long silenceMillis, long idleTimeoutMillis) {
    /**
     * 16 MB frames by the design. Two full frames may wait. Silence is noticed within 2 s, the same limit as for backend
     * servers. At the design size a member probes each other member about every 180 s, so 5 minutes keep connections
     * between probes.
     */
    public static final TransportLimits DEFAULT =
            new TransportLimits(16 * 1024 * 1024, 32L * 1024 * 1024, 1_000, 1_000, 300_000);
}
