package org.banyanspoke.daemon.backend;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Map;

/**
 * HTTP request to a backend server.
 *
 * @param method HTTP method
 * @param uri request path
 * @param headers request headers
 * @param body request body, or null for none
 */
record ServerRequest(HttpMethod method, String uri, Map<String, String> headers, Buffer body) {
    /** Returns a health check request. */
    static ServerRequest health() {
        return new ServerRequest(HttpMethod.GET, "/health", Map.of(), null);
    }
}
