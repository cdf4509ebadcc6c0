package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/**
 * One request with its body.
 *
 * @param context the routed request
 * @param body the whole body; empty if the route has none, or if there was no room for it
 * @param held the room that the body takes until the response is written
 */
record HttpCall(RoutingContext context, byte[] body, BodyBudget.Share held) {
    HttpServerRequest request() {
        return context.request();
    }

    String path(String name) {
        return context.pathParam(name);
    }

    /**
     * Returns an integer query parameter, or the default if it is absent.
     *
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST} if it is not an integer within the limits
     */
    long integer(String name, long defaultValue, long min, long max) throws DispatchException {
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
            // Reported below with the allowed range.
        }
        throw malformed(name, text, "an integer from " + min + " to " + max);
    }

    /**
     * Returns a boolean query parameter, or the default if it is absent.
     *
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST} if it is neither true nor false
     */
    boolean flag(String name, boolean defaultValue) throws DispatchException {
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
                ErrorKind.MALFORMED_REQUEST, "parameter " + name + " is \"" + text + "\", allowed: " + allowed);
    }
}
