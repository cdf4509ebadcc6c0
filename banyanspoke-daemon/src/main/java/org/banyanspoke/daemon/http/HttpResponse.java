package org.banyanspoke.daemon.http;

import java.util.Map;

/**
 * An HTTP response that is not yet written.
 *
 * @param status HTTP status code
 * @param headers headers other than Content-Type and Content-Length
 * @param body object to serialize as JSON, or serialized JSON as a byte array; null for an empty body
 */
record HttpResponse(int status, Map<String, String> headers, Object body) {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int ACCEPTED = 202;
    static final int SERVICE_UNAVAILABLE = 503;

    HttpResponse {
        headers = Map.copyOf(headers);
    }

    static HttpResponse of(int status, Object body) {
        return new HttpResponse(status, Map.of(), body);
    }
}
