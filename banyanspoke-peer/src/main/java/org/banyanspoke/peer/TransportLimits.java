package org.banyanspoke.peer;

/**
 * Size and time limits of a transport.
 *
 * @param maxMessageBytes maximum size of a message; messages are written in fragments of at most 256 KiB
 * @param maxQueuedBytes maximum bytes queued for one peer; further requests fail immediately, except that a single
 *     request of any size may be queued alone
 * @param connectTimeoutMillis timeout for opening a connection, including the exchange of Hello frames
 * @param heartbeatTimeoutMillis time without received data after a write before a heartbeat is sent; the connection
 *     is closed if no data is received for the same time again
 * @param idleTimeoutMillis time after which an unused connection is closed
 */
public record TransportLimits(
        int maxMessageBytes,
        long maxQueuedBytes,
        int connectTimeoutMillis,
        long heartbeatTimeoutMillis,
        long idleTimeoutMillis) {
    /**
     * The largest message is the response to a job: 1,100 results of 64 KiB, each character of which JSON may escape
     * as 6. Two bodies of the default limit of 32 MB may be queued. An unresponsive peer is detected within 2 s, the
     * same limit as for backend servers. At the design size a member probes each other member about every 180 s, so a
     * timeout of 5 minutes keeps connections open between probes.
     */
    public static final TransportLimits DEFAULT =
            new TransportLimits(448 * 1024 * 1024, 64L * 1024 * 1024, 1_000, 1_000, 300_000);
}
