package org.banyanspoke.daemon.http;

import com.google.common.math.LongMath;
import java.math.RoundingMode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/** The one table from error kinds to HTTP responses. docs/errors.md has a row for each kind. */
final class ErrorAnswers {
    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorAnswers() {}

    /** Body of an error that concerns no job. */
    record Body(ErrorBody error) {}

    /** Returns the response for an error. */
    static HttpAnswer of(DispatchException e) {
        return new HttpAnswer(e.kind().httpStatus(), headers(e), new Body(ErrorBody.of(e)));
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

    /** Adds the header in whole seconds, rounded up; 0 milliseconds add none. */
    static void putRetryAfter(Map<String, String> headers, long retryAfterMillis) {
        if (retryAfterMillis > 0) {
            long seconds = LongMath.divide(retryAfterMillis, MILLIS_PER_SECOND, RoundingMode.CEILING);
            headers.put("Retry-After", Long.toString(seconds));
        }
    }

    /** A draining host sends callers elsewhere; after an incomplete body the connection has no defined state. */
    static boolean closesConnection(ErrorKind kind) {
        return switch (kind) {
            case DRAINING, REQUEST_TIMEOUT, REQUEST_TOO_LARGE -> true;
            default -> false;
        };
    }
}
