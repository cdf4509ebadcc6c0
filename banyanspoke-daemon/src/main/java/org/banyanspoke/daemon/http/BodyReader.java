package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/** Reads request bodies within a size and a time. */
final class BodyReader {
    private final Vertx vertx;
    private final int maxBytes;
    private final long timeoutMillis;

    /**
     * @param maxBytes largest body
     * @param timeoutMillis time for the whole body, in milliseconds
     */
    BodyReader(Vertx vertx, int maxBytes, long timeoutMillis) {
        this.vertx = vertx;
        this.maxBytes = maxBytes;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Reads the body. Must be called in the turn in which the request arrived.
     *
     * @return the body; fails with {@link ErrorKind#REQUEST_TOO_LARGE} or {@link ErrorKind#REQUEST_TIMEOUT}, or with
     *     {@link ErrorKind#MALFORMED_REQUEST} if the connection ended first
     */
    Future<byte[]> read(HttpServerRequest request) {
        Promise<byte[]> promise = Promise.promise();
        if (declaredBytes(request) > maxBytes) {
            promise.fail(tooLarge());
            return promise.future();
        }
        long timer = vertx.setTimer(
                timeoutMillis,
                unused -> promise.tryFail(new DispatchException(
                        ErrorKind.REQUEST_TIMEOUT, "the body did not arrive within " + timeoutMillis + " ms")));
        Buffer body = Buffer.buffer();
        request.handler(chunk -> append(body, chunk, promise));
        request.endHandler(unused -> promise.tryComplete(body.getBytes()));
        request.exceptionHandler(e -> promise.tryFail(
                new DispatchException(ErrorKind.MALFORMED_REQUEST, "the body ended early: " + e.getMessage())));
        return promise.future().onComplete(unused -> vertx.cancelTimer(timer));
    }

    private void append(Buffer body, Buffer chunk, Promise<byte[]> promise) {
        if (promise.future().isComplete()) {
            return;
        }
        if ((long) body.length() + chunk.length() > maxBytes) {
            promise.fail(tooLarge());
            return;
        }
        body.appendBuffer(chunk);
    }

    /** Returns the declared length, or -1 if there is none or it is not a number. */
    private static long declaredBytes(HttpServerRequest request) {
        try {
            String length = request.getHeader("Content-Length");
            return length == null ? -1 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private DispatchException tooLarge() {
        return new DispatchException(ErrorKind.REQUEST_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
    }
}
