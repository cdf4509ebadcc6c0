package org.banyanspoke.daemon.http;

import java.util.Map;

/**
 * An HTTP response before it is written.
 *
 * @param status HTTP status
 * @param headers headers besides content type and length
 * @param body value to write as JSON, or JSON as bytes; null for an empty body
 */
record HttpAnswer(int status, Map<String, String> headers, Object body) {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int ACCEPTED = 202;
    static final int SERVICE_UNAVAILABLE = 503;

    /** Copies the headers. */
    HttpAnswer {
        headers = Map.copyOf(headers);
    }

    static HttpAnswer of(int status, Object body) {
        return new HttpAnswer(status, Map.of(), body);
    }
}
