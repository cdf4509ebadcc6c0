package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/**
 * A routed request and its body.
 *
 * @param context the routing context of the request
 * @param body the complete body; empty if the route has none or the body was not read
 * @param reservation memory reserved for the body until the response is written
 */
record RoutedRequest(RoutingContext context, byte[] body, BodyBudget.Reservation reservation) {
    HttpServerRequest request() {
        return context.request();
    }

    String pathParameter(String name) {
        return context.pathParam(name);
    }

    /**
     * Returns an integer query parameter, or the default if it is absent.
     *
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST} if it is not an integer within the limits
     */
    long integerParameter(String name, long defaultValue, long min, long max) throws DispatchException {
        String text = request().getParam(name);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a value out of range.
        }
        throw malformed(name, text, "an integer from " + min + " to " + max);
    }

    /**
     * Returns a boolean query parameter, or the default if it is absent.
     *
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST} if it is neither true nor false
     */
    boolean booleanParameter(String name, boolean defaultValue) throws DispatchException {
        String text = request().getParam(name);
        if (text == null) {
            return defaultValue;
        }
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            default -> throw malformed(name, text, "true or false");
        };
    }

    private static DispatchException malformed(String name, String text, String allowed) {
        return new DispatchException(
                ErrorKind.MALFORMED_REQUEST, "parameter " + name + " is \"" + text + "\"; must be " + allowed);
    }
}
