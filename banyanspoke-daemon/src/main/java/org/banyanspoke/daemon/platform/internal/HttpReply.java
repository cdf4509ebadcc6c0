package org.banyanspoke.daemon.platform.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.reactivex.rxjava3.core.Single;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.daemon.platform.PlatformException;

/**
 * HTTP response with its body.
 *
 * @param target method, address and path of the request, for error messages
 * @param status HTTP status
 * @param entityTag value of {@code ETag}, or null
 * @param bodyBytes body size in bytes
 * @param body body decoded as UTF-8
 */
public record HttpReply(String target, int status, String entityTag, long bodyBytes, String body) {
    /** Parses the JSON body; fails with {@link PlatformException} if it does not match the type. */
    public <T> Single<T> parse(Class<T> type) {
        try {
            return Single.just(Json.mapper().readValue(body, type));
        } catch (JsonProcessingException e) {
            return Single.error(new PlatformException(target + ": cannot parse response body", true, e));
        }
    }

    /** Returns a failure with the status. Only a 4xx status guarantees that the request had no effect. */
    public <T> Single<T> fail() {
        boolean rejected = status >= 400 && status < 500;
        return Single.error(new PlatformException(target + ": HTTP status " + status, !rejected, null));
    }
}
