package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Closes connections whose client does not send a request: a new one must send its first request head within one time, and a
 * used one its next head within another. Runs on the event loop of one server.
 */
final class IdleConnections {
    private static final long BUSY = Long.MAX_VALUE;

    private final MonotonicClock clock;
    private final long headTimeoutMillis;
    private final long idleTimeoutMillis;
    private final Map<HttpConnection, Long> limitsMillis = new HashMap<>();

    /**
     * @param headTimeoutMillis time from the opening of a connection to the end of its first request head
     * @param idleTimeoutMillis time from a response to the end of the next request head
     */
    IdleConnections(MonotonicClock clock, long headTimeoutMillis, long idleTimeoutMillis) {
        this.clock = clock;
        this.headTimeoutMillis = headTimeoutMillis;
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    /** A client has connected. */
    void onOpened(HttpConnection connection) {
        limitsMillis.put(connection, clock.millis() + headTimeoutMillis);
        connection.closeHandler(unused -> limitsMillis.remove(connection));
    }

    /** A request head is complete. */
    void onRequest(HttpConnection connection) {
        limitsMillis.replace(connection, BUSY);
    }

    /** A response has ended, or its connection has. */
    void onResponse(HttpConnection connection) {
        limitsMillis.replace(connection, clock.millis() + idleTimeoutMillis);
    }

    /** Closes what is overdue. */
    void closeOverdue() {
        long nowMillis = clock.millis();
        for (Map.Entry<HttpConnection, Long> entry : List.copyOf(limitsMillis.entrySet())) {
            if (entry.getValue() <= nowMillis) {
                entry.getKey().close();
            }
        }
    }
}
