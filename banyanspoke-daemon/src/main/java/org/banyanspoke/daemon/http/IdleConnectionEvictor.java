package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Closes connections on which the client sends no request in time. One timeout applies to the first request head,
 * another to the head that follows a response. Confined to the event loop of one server.
 */
final class IdleConnectionEvictor {
    private static final long NO_DEADLINE = Long.MAX_VALUE;

    private final MonotonicClock clock;
    private final long headTimeoutMillis;
    private final long idleTimeoutMillis;
    private final Map<HttpConnection, Long> deadlinesMillis = new HashMap<>();

    /**
     * @param headTimeoutMillis timeout from opening a connection to the end of its first request head
     * @param idleTimeoutMillis timeout from the end of a response to the end of the next request head
     */
    IdleConnectionEvictor(MonotonicClock clock, long headTimeoutMillis, long idleTimeoutMillis) {
        this.clock = clock;
        this.headTimeoutMillis = headTimeoutMillis;
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    /** Called when a client has connected. */
    void onOpened(HttpConnection connection) {
        deadlinesMillis.put(connection, clock.millis() + headTimeoutMillis);
        connection.closeHandler(unused -> deadlinesMillis.remove(connection));
    }

    /** Called when a request head is complete. */
    void onRequest(HttpConnection connection) {
        deadlinesMillis.replace(connection, NO_DEADLINE);
    }

    /** Called when a response has ended or its connection was closed. */
    void onResponse(HttpConnection connection) {
        deadlinesMillis.replace(connection, clock.millis() + idleTimeoutMillis);
    }

    /** Closes the connections whose timeout has expired. */
    void closeExpired() {
        long nowMillis = clock.millis();
        for (Map.Entry<HttpConnection, Long> entry : List.copyOf(deadlinesMillis.entrySet())) {
            if (entry.getValue() <= nowMillis) {
                entry.getKey().close();
            }
        }
    }
}
