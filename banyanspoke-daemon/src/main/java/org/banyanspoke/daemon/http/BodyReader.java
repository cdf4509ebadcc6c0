package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/** Reads request bodies within a size, a time and the room that is left for all bodies. */
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
     * @param share takes the declared size before the first byte is read; a body without one is taken as it arrives
     * @return the body; fails with {@link ErrorKind#OVERLOADED} if there is no room for it, or with {@link ErrorKind#REQUEST_TOO_LARGE} or {@link ErrorKind#REQUEST_TIMEOUT}, or with
     *     {@link ErrorKind#MALFORMED_REQUEST} if the connection ended first
     */
    Future<byte[]> read(HttpServerRequest request, BodyBudget.Share share) {
        Promise<byte[]> promise = Promise.promise();
        long declaredBytes = Math.max(0, declaredBytes(request));
        try {
            checkSize(declaredBytes);
            share.grow(declaredBytes);
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
        long timer = vertx.setTimer(
                timeoutMillis,
                unused -> promise.tryFail(new DispatchException(
                        ErrorKind.REQUEST_TIMEOUT, "the body did not arrive within " + timeoutMillis + " ms")));
        Buffer body = Buffer.buffer();
        request.handler(chunk -> append(body, chunk, declaredBytes, share, promise));
        request.endHandler(unused -> promise.tryComplete(body.getBytes()));
        request.exceptionHandler(e -> promise.tryFail(
                new DispatchException(ErrorKind.MALFORMED_REQUEST, "the body ended early: " + e.getMessage())));
        return promise.future().onComplete(unused -> vertx.cancelTimer(timer));
    }

    private void append(
            Buffer body, Buffer chunk, long declaredBytes, BodyBudget.Share share, Promise<byte[]> promise) {
        if (promise.future().isComplete()) {
            return;
        }
        long sizeBytes = (long) body.length() + chunk.length();
        try {
            checkSize(sizeBytes);
            if (sizeBytes > declaredBytes) {
                share.grow(chunk.length());
            }
            body.appendBuffer(chunk);
        } catch (DispatchException e) {
            promise.fail(e);
        }
    }

    private void checkSize(long sizeBytes) throws DispatchException {
        if (sizeBytes > maxBytes) {
            throw new DispatchException(ErrorKind.REQUEST_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
        }
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
}
