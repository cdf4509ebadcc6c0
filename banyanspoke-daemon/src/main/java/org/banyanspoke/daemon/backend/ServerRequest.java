package org.banyanspoke.daemon.backend;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Map;

/**
 * One HTTP request to a backend server.
 *
 * @param method the method
 * @param uri path
 * @param headers headers in the order in which they are sent
 * @param body body; null for none
 */
record ServerRequest(HttpMethod method, String uri, Map<String, String> headers, Buffer body) {
    /** Asks whether the server answers at all. */
    static ServerRequest health() {
        return new ServerRequest(HttpMethod.GET, "/health", Map.of(), null);
    }
}
