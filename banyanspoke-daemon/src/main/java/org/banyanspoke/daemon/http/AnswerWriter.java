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

/** Writes responses. A response is built as a whole before its first byte is written. */
final class AnswerWriter {
    /**
     * Time for which the rest of a body is read and dropped after an early response. Closing at once would reset the
     * connection and the caller could lose the response.
     */
    private static final long LINGER_MILLIS = 1_000;

    private static final EventLog LOG = EventLog.of(AnswerWriter.class);

    private final Vertx vertx;
    private final Consumer<ErrorKind> onError;

    /**
     * @param onError counts error responses
     */
    AnswerWriter(Vertx vertx, Consumer<ErrorKind> onError) {
        this.vertx = vertx;
        this.onError = onError;
    }

    /** Writes a response. No effect if the caller has gone or already has a response. */
    void write(HttpServerRequest request, HttpAnswer answer) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        Buffer body;
        try {
            body = encode(answer.body());
        } catch (JsonProcessingException e) {
            writeError(request, e);
            return;
        }
        response.setStatusCode(answer.status()).putHeader("Content-Type", "application/json");
        answer.headers().forEach(response::putHeader);
        boolean bodyUnread = hasBody(request) && !request.isEnded();
        if (bodyUnread) {
            response.putHeader("Connection", "close");
        }
        if (bodyUnread) {
            endAndLinger(request, body);
        } else {
            response.end(body).onFailure(AnswerWriter::logLostAnswer);
        }
    }

    private static Buffer encode(Object body) throws JsonProcessingException {
        if (body == null) {
            return Buffer.buffer();
        }
        return Buffer.buffer(
                body instanceof byte[] bytes ? bytes : Json.mapper().writeValueAsBytes(body));
    }

    /** Writes the response for an exception; one without a kind is a fault of the daemon. */
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
        return new DispatchException(ErrorKind.INTERNAL, "internal error; the host's log has the details", e);
    }

    /** The end of a request without body is reported only after its handler has returned, so the head decides. */
    private static boolean hasBody(HttpServerRequest request) {
        String length = request.getHeader("Content-Length");
        return request.headers().contains("Transfer-Encoding") || (length != null && !length.equals("0"));
    }

    private void endAndLinger(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        response.putHeader("Content-Length", Integer.toString(body.length()));
        response.write(body).onFailure(AnswerWriter::logLostAnswer);
        Runnable finish = () -> {
            if (!response.ended() && !response.closed()) {
                response.end().onFailure(AnswerWriter::logLostAnswer);
            }
        };
        long timer = vertx.setTimer(LINGER_MILLIS, unused -> {
            finish.run();
            request.connection().close();
        });
        request.handler(unused -> {});
        request.exceptionHandler(unused -> vertx.cancelTimer(timer));
        request.endHandler(unused -> {
            vertx.cancelTimer(timer);
            finish.run();
        });
        request.resume();
    }

    private static void logLostAnswer(Throwable e) {
        LOG.event(Logger.Level.DEBUG, "the caller closed the connection before its response was written")
                .cause(e)
                .write();
    }
}
