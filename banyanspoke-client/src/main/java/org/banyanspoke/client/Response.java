package org.banyanspoke.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.json.Json;

/**
 * An HTTP response of an entry host.
 *
 * @param status HTTP status
 * @param body JSON body; a null node if the response has no body
 */
record Response(int status, JsonNode body) {
    /**
     * Returns the body as the state of a job, which may have failed.
     *
     * @throws DispatchException if the response is an error without a job state
     */
    JobAnswer jobAnswer() throws DispatchException {
        if (body.has("jobId")) {
            return convert(body, JobAnswer.class);
        }
        throw toException();
    }

    /**
     * Returns the body of a successful response.
     *
     * @throws DispatchException with the error kind of the response if the status is not 2xx
     */
    JsonNode successBody() throws DispatchException {
        if (status >= 200 && status < 300) {
            return body;
        }
        throw toException();
    }

    /** Deserializes JSON to an API type. */
    static <T> T convert(JsonNode json, Class<T> type) throws DispatchException {
        try {
            return Json.mapper().treeToValue(json, type);
        } catch (JsonProcessingException e) {
            throw new DispatchException(ErrorKind.INTERNAL, "the response is not a valid " + type.getSimpleName(), e);
        }
    }

    private DispatchException toException() {
        try {
            ErrorBody error = convert(body.path("error"), ErrorBody.class);
            if (error != null && error.kind() != null) {
                return new DispatchException(error.kind(), error.message());
            }
        } catch (DispatchException e) {
            return e;
        }
        return new DispatchException(ErrorKind.INTERNAL, "HTTP status " + status + " without an error body");
    }
}
