package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/** Reads request bodies subject to a size limit, a timeout and the memory budget for all bodies. */
final class BodyReader {
    private final Vertx vertx;
    private final int maxBytes;
    private final long timeoutMillis;

    /**
     * @param maxBytes largest accepted body, in bytes
     * @param timeoutMillis timeout for the whole body, in milliseconds
     */
    BodyReader(Vertx vertx, int maxBytes, long timeoutMillis) {
        this.vertx = vertx;
        this.maxBytes = maxBytes;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Reads the body. Must be called from the request handler, before any data of the body is delivered.
     *
     * @param reservation grows by the declared size before the first byte is read; without a declared size it grows
     *     with each chunk
     * @return the body; fails with {@link ErrorKind#OVERLOADED} if the memory budget is exhausted, with {@link
     *     ErrorKind#REQUEST_TOO_LARGE} or {@link ErrorKind#REQUEST_TIMEOUT} if a limit is exceeded, or with {@link
     *     ErrorKind#MALFORMED_REQUEST} if the connection closed before the end of the body
     */
    Future<byte[]> read(HttpServerRequest request, BodyBudget.Reservation reservation) {
        Promise<byte[]> promise = Promise.promise();
        long declaredBytes = Math.max(0, declaredBytes(request));
        try {
            checkSize(declaredBytes);
            reservation.grow(declaredBytes);
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
        long timer = vertx.setTimer(
                timeoutMillis,
                unused -> promise.tryFail(new DispatchException(
                        ErrorKind.REQUEST_TIMEOUT, "the request body did not arrive within " + timeoutMillis + " ms")));
        Buffer body = Buffer.buffer((int) declaredBytes);
        request.handler(chunk -> append(body, chunk, declaredBytes, reservation, promise));
        request.endHandler(unused -> promise.tryComplete(body.getBytes()));
        request.exceptionHandler(e -> promise.tryFail(new DispatchException(
                ErrorKind.MALFORMED_REQUEST, "the request body is truncated: " + e.getMessage())));
        return promise.future().onComplete(unused -> vertx.cancelTimer(timer));
    }

    private void append(
            Buffer body,
            Buffer chunk,
            long declaredBytes,
            BodyBudget.Reservation reservation,
            Promise<byte[]> promise) {
        if (promise.future().isComplete()) {
            return;
        }
        long sizeBytes = (long) body.length() + chunk.length();
        try {
            checkSize(sizeBytes);
            if (sizeBytes > declaredBytes) {
                reservation.grow(chunk.length());
            }
            body.appendBuffer(chunk);
        } catch (DispatchException e) {
            promise.fail(e);
        }
    }

    private void checkSize(long sizeBytes) throws DispatchException {
        if (sizeBytes > maxBytes) {
            throw new DispatchException(
                    ErrorKind.REQUEST_TOO_LARGE, "the request body is larger than " + maxBytes + " bytes");
        }
    }

    /** Returns the declared length, or -1 if it is absent or not a number. */
    private static long declaredBytes(HttpServerRequest request) {
        try {
            String length = request.getHeader("Content-Length");
            return length == null ? -1 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
