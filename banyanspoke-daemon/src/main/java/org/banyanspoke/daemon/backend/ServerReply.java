package org.banyanspoke.daemon.backend;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Outcome of an HTTP exchange with a backend server.
 *
 * @param state how far the exchange got
 * @param status HTTP status if the state is {@code RECEIVED}
 * @param headers response headers if the state is {@code RECEIVED}, else null
 * @param body complete response body if the state is {@code RECEIVED}, else null
 * @param message human-readable reason if the state is not {@code RECEIVED}, else empty
 */
record ServerReply(State state, int status, MultiMap headers, Buffer body, String message) {
    enum State {
        /** No byte of the request was handed to the socket. */
        NOT_WRITTEN,
        /** At least part of the request was handed to the socket, but no complete response arrived. */
        NO_RESPONSE,
        /** The complete response was received. */
        RECEIVED
    }

    static ServerReply received(HttpClientResponse response, Buffer body) {
        return new ServerReply(State.RECEIVED, response.statusCode(), response.headers(), body, "");
    }

    static ServerReply notWritten(String message) {
        return new ServerReply(State.NOT_WRITTEN, 0, null, null, message);
    }

    static ServerReply noResponse(String message) {
        return new ServerReply(State.NO_RESPONSE, 0, null, null, message);
    }
}
