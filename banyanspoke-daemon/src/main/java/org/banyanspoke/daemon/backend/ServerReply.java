package org.banyanspoke.daemon.backend;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * How one HTTP exchange ended.
 *
 * @param state what is known
 * @param status HTTP status if the state is {@code RECEIVED}
 * @param headers headers if the state is {@code RECEIVED}, else null
 * @param body whole body if the state is {@code RECEIVED}, else null
 * @param message for people if the state is not {@code RECEIVED}
 */
record ServerReply(State state, int status, MultiMap headers, Buffer body, String message) {
    enum State {
        /** No byte of the request was handed to the socket. */
        NOT_WRITTEN,
        /** The request was handed to the socket, wholly or in part, and no whole response came. */
        NO_RESPONSE,
        /** The whole response came. */
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
