package org.banyanspoke.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.json.Json;

/**
 * An answer of an entry host.
 *
 * @param status HTTP status
 * @param body JSON body; a null node if there was none
 */
record Response(int status, JsonNode body) {
    /**
     * Returns the body as a job answer, which may be that of a failed job.
     *
     * @throws DispatchException if the answer is an error that concerns no job
     */
    JobAnswer jobAnswer() throws DispatchException {
        if (body.has("jobId")) {
            return convert(body, JobAnswer.class);
        }
        throw error();
    }

    /**
     * Returns the body of a successful answer.
     *
     * @throws DispatchException with the kind that the answer names if the status is not 2xx
     */
    JsonNode success() throws DispatchException {
        if (status >= 200 && status < 300) {
            return body;
        }
        throw error();
    }

    /** Converts JSON to a type of the API. */
    static <T> T convert(JsonNode json, Class<T> type) throws DispatchException {
        try {
            return Json.mapper().treeToValue(json, type);
        } catch (JsonProcessingException e) {
            throw new DispatchException(ErrorKind.INTERNAL, "the answer is not a " + type.getSimpleName(), e);
        }
    }

    private DispatchException error() {
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
