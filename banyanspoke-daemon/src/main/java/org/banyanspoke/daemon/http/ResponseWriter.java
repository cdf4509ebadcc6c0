package org.banyanspoke.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/** Writes HTTP responses. The complete body is encoded before the first byte is written. */
final class ResponseWriter {
    /**
     * Time for which the rest of a request body is read and discarded after an early response. Closing immediately
     * would reset the connection, and the client could lose the response.
     */
    private static final long LINGER_MILLIS = 1_000;

    private static final EventLog LOG = EventLog.of(ResponseWriter.class);

    private final Vertx vertx;
    private final Consumer<ErrorKind> onError;

    /**
     * @param onError receives the kind of each error response
     */
    ResponseWriter(Vertx vertx, Consumer<ErrorKind> onError) {
        this.vertx = vertx;
        this.onError = onError;
    }

    /** Writes a response. Has no effect if the connection is closed or the response was already written. */
    void write(HttpServerRequest request, HttpResponse content) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        Buffer body;
        try {
            body = encode(content.body());
        } catch (JsonProcessingException e) {
            writeError(request, e);
            return;
        }
        response.setStatusCode(content.status()).putHeader("Content-Type", "application/json");
        content.headers().forEach(response::putHeader);
        boolean bodyUnread = hasBody(request) && !request.isEnded();
        if (bodyUnread) {
            response.putHeader("Connection", "close");
        }
        if (bodyUnread) {
            endAndLinger(request, body);
        } else {
            response.end(body).onFailure(ResponseWriter::logWriteFailure);
        }
    }

    private static Buffer encode(Object body) throws JsonProcessingException {
        if (body == null) {
            return Buffer.buffer();
        }
        return Buffer.buffer(
                body instanceof byte[] bytes ? bytes : Json.mapper().writeValueAsBytes(body));
    }

    /** Writes the response for an exception. Exceptions other than {@link DispatchException} are internal errors. */
    void writeError(HttpServerRequest request, Throwable e) {
        DispatchException known = e instanceof DispatchException expected ? expected : internal(request, e);
        onError.accept(known.kind());
        write(request, ErrorAnswers.of(known));
    }

    private static DispatchException internal(HttpServerRequest request, Throwable e) {
        LOG.event(Logger.Level.ERROR, "unexpected exception while handling a request")
                .with("method", request.method())
                .with("path", request.path())
                .with("errorKind", ErrorKind.INTERNAL)
                .cause(e)
                .write();
        return new DispatchException(ErrorKind.INTERNAL, "internal error; see the log of the host", e);
    }

    /**
     * Decides by the headers, because Vert.x reports the end of a request without body only after the handler returns.
     */
    private static boolean hasBody(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        return request.headers().contains("Transfer-Encoding") || (length != null && !length.equals("0"));
    }

    private void endAndLinger(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        response.putHeader("Content-Length", Integer.toString(body.length()));
        response.write(body).onFailure(ResponseWriter::logWriteFailure);
        Runnable endResponse = () -> {
            if (!response.ended() && !response.closed()) {
                response.end().onFailure(ResponseWriter::logWriteFailure);
            }
        };
        long timer = vertx.setTimer(LINGER_MILLIS, unused -> {
            endResponse.run();
            request.connection().close();
        });
        request.handler(unused -> {});
        request.exceptionHandler(unused -> vertx.cancelTimer(timer));
        request.endHandler(unused -> {
            vertx.cancelTimer(timer);
            endResponse.run();
        });
        request.resume();
    }

    private static void logWriteFailure(Throwable e) {
        LOG.event(Logger.Level.DEBUG, "client closed the connection before the response was written")
                .cause(e)
                .write();
    }
}
