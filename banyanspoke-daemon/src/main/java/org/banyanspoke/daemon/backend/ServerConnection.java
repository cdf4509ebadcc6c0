package org.banyanspoke.daemon.backend;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;

/**
 * A connection to a backend server that carries one HTTP exchange at a time, without pipelining or retries.
 *
 * <p>Once the request is handed to the socket, the exchange can only end as {@code RECEIVED} or {@code NO_RESPONSE}. A
 * server that closes a persistent connection while the request is in transit may have read it, so this case is {@code
 * NO_RESPONSE} too.
 */
final class ServerConnection {
    /** Four times the largest task payload. Results are retained for 120 s in at most 64 MB. */
    static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private final HttpClientConnection connection;
    private final Context dispatchThread;
    private final long openedNanos;
    private Consumer<ServerReply> onEnd;
    private boolean written;
    private boolean closed;
    private long lastUsedNanos;

    ServerConnection(
            HttpClientConnection connection,
            Context dispatchThread,
            long openedNanos,
            Consumer<ServerConnection> onClosed) {
        this.connection = connection;
        this.dispatchThread = dispatchThread;
        this.openedNanos = openedNanos;
        this.lastUsedNanos = openedNanos;
        connection.closeHandler(unused -> {
            closed = true;
            endWithoutResponse("connection closed");
            onClosed.accept(this);
        });
    }

    long openedNanos() {
        return openedNanos;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    void markUsed(long nowNanos) {
        lastUsedNanos = nowNanos;
    }

    boolean isOpen() {
        return !closed;
    }

    /** Sends a request. The callback runs exactly once, after this method has returned. */
    void send(ServerRequest request, Consumer<ServerReply> callback) {
        if (onEnd != null) {
            throw new IllegalStateException("connection is busy with another exchange");
        }
        onEnd = callback;
        written = false;
        RequestOptions options =
                new RequestOptions().setMethod(request.method()).setURI(request.uri());
        connection
                .request(options)
                .onSuccess(httpRequest -> write(httpRequest, request, callback))
                .onFailure(e -> dispatchThread.runOnContext(unused -> fail(callback, e.toString())));
    }

    /** Closes the connection. An exchange in progress ends without a response. */
    void close(String reason) {
        closed = true;
        connection.close();
        endWithoutResponse(reason);
    }

    private void write(HttpClientRequest httpRequest, ServerRequest request, Consumer<ServerReply> callback) {
        if (onEnd != callback) {
            // The exchange was aborted before the request was written; close() has closed the connection.
            return;
        }
        request.headers().forEach(httpRequest::putHeader);
        httpRequest.exceptionHandler(e -> fail(callback, e.toString()));
        httpRequest.response().onSuccess(response -> read(response, callback));
        written = true;
        if (request.body() == null) {
            httpRequest.end().onFailure(e -> dispatchThread.runOnContext(unused -> fail(callback, e.toString())));
        } else {
            httpRequest
                    .end(request.body())
                    .onFailure(e -> dispatchThread.runOnContext(unused -> fail(callback, e.toString())));
        }
    }

    private void read(HttpClientResponse response, Consumer<ServerReply> callback) {
        Buffer body = Buffer.buffer();
        response.exceptionHandler(e -> fail(callback, e.toString()));
        response.handler(chunk -> {
            if (body.length() + chunk.length() > MAX_RESPONSE_BYTES) {
                fail(callback, "response body exceeds " + MAX_RESPONSE_BYTES + " bytes");
            } else {
                body.appendBuffer(chunk);
            }
        });
        response.endHandler(unused -> end(callback, response, body));
    }

    private void end(Consumer<ServerReply> callback, HttpClientResponse response, Buffer body) {
        if (onEnd != callback) {
            return;
        }
        onEnd = null;
        if ("close".equalsIgnoreCase(response.getHeader("Connection"))) {
            closed = true;
            connection.close();
        }
        callback.accept(ServerReply.received(response, body));
    }

    private void fail(Consumer<ServerReply> callback, String reason) {
        if (onEnd == callback) {
            close(reason);
        }
    }

    private void endWithoutResponse(String reason) {
        Consumer<ServerReply> callback = onEnd;
        if (callback == null) {
            return;
        }
        onEnd = null;
        ServerReply reply = written ? ServerReply.noResponse(reason) : ServerReply.notWritten(reason);
        dispatchThread.runOnContext(unused -> callback.accept(reply));
    }
}
