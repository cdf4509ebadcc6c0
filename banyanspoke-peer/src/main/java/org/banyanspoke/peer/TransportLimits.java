package org.banyanspoke.peer;

/**
 * Limits of a transport.
 *
 * @param maxMessageBytes largest message; messages are written in frames of at most 256 KiB
 * @param maxQueuedBytes bytes that may wait to be written to one peer; further requests fail at once, except that one
 *     request of any size may wait alone
 * @param connectTimeoutMillis limit for opening a connection, including the exchange of identities
 * @param silenceMillis a connection on which nothing arrives for this long after a write is sent a heartbeat, and is
 *     closed if nothing arrives for as long again
 * @param idleTimeoutMillis an unused connection is closed after this time
 */
public record TransportLimits(
        int maxMessageBytes,
        long maxQueuedBytes,
        int connectTimeoutMillis,
        long silenceMillis,
        long idleTimeoutMillis) {
    /**
     * The largest message is the response to a job: 1,100 results of 64 KiB, each character of which JSON may write as 6.
     * Two bodies of the default limit of 32 MB may wait. Silence is noticed within 2 s, the same limit as for backend
     * servers. At the design size a member probes each other member about every 180 s, so 5 minutes keep connections
     * between probes.
     */
    public static final TransportLimits DEFAULT =
            new TransportLimits(448 * 1024 * 1024, 64L * 1024 * 1024, 1_000, 1_000, 300_000);
}
