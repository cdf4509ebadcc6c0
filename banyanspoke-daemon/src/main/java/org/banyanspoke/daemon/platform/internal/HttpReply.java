package org.banyanspoke.daemon.platform.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.reactivex.rxjava3.core.Single;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.daemon.platform.PlatformException;

/**
 * An HTTP response with its body.
 *
 * @param target method, address and path, for messages
 * @param status HTTP status
 * @param entityTag value of {@code ETag}, or null
 * @param bodyBytes size of the body
 * @param body the body as text
 */
public record HttpReply(String target, int status, String entityTag, long bodyBytes, String body) {
    /** Returns the body as an object; fails with {@link PlatformException} if it has another form. */
    public <T> Single<T> parse(Class<T> type) {
        try {
            return Single.just(Json.mapper().readValue(body, type));
        } catch (JsonProcessingException e) {
            return Single.error(new PlatformException(target + ": response cannot be read", true, e));
        }
    }

    /** Fails with the status. A 4xx status says that the request had no effect; any other status says nothing. */
    public <T> Single<T> fail() {
        boolean refused = status >= 400 && status < 500;
        return Single.error(new PlatformException(target + ": HTTP status " + status, !refused, null));
    }
}
