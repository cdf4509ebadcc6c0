package org.banyanspoke.daemon.http;

import com.google.common.math.LongMath;
import java.math.RoundingMode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/** Maps errors to HTTP responses. docs/errors.md documents every error kind. */
final class ErrorAnswers {
    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorAnswers() {}

    /** Body of an error response that describes no job. */
    record Body(ErrorBody error) {}

    /** Returns the response for an error. */
    static HttpResponse of(DispatchException e) {
        return new HttpResponse(e.kind().httpStatus(), headers(e), new Body(ErrorBody.of(e)));
    }

    private static Map<String, String> headers(DispatchException e) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (closesConnection(e.kind())) {
            headers.put("Connection", "close");
        }
        if (e instanceof RefusedException refused) {
            putRetryAfter(headers, refused.retryAfterMillis());
        }
        if (e.kind() == ErrorKind.UNAUTHENTICATED) {
            headers.put("WWW-Authenticate", "Bearer");
        }
        return headers;
    }

    /** Adds the Retry-After header in seconds, rounded up; adds none for 0 milliseconds. */
    static void putRetryAfter(Map<String, String> headers, long retryAfterMillis) {
        if (retryAfterMillis > 0) {
            long seconds = LongMath.divide(retryAfterMillis, MILLIS_PER_SECOND, RoundingMode.CEILING);
            headers.put("Retry-After", Long.toString(seconds));
        }
    }

    /**
     * Returns whether the response closes the connection: when draining, so that clients reconnect to another host, and
     * after an incomplete body, which leaves the connection in an undefined state.
     */
    static boolean closesConnection(ErrorKind kind) {
        return switch (kind) {
            case DRAINING, REQUEST_TIMEOUT, REQUEST_TOO_LARGE -> true;
            default -> false;
        };
    }
}
