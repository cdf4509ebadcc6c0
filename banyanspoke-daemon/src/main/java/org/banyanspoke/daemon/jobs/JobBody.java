package org.banyanspoke.daemon.jobs;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.json.Json;

/**
 * The parsed and validated body of a job submission.
 *
 * @param request the requested job
 * @param digest SHA-256 of the body as received; a resubmission must have the same digest
 * @param onEnd run when the job has ended or the submission is refused, to release the memory of the body
 */
public record JobBody(JobRequest request, HashCode digest, Runnable onEnd) {
    private static final Runnable NO_ACTION = () -> {};

    /**
     * Parses and validates a submission.
     *
     * @throws RefusedException with {@link ErrorKind#INVALID_JOB} if the job violates a limit or a rule
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST} if the body is not a {@link JobRequest}
     */
    public static JobBody parse(byte[] body) throws DispatchException {
        JobRequest request = parse(body, JobRequest.class);
        request.validate();
        return new JobBody(request, Hashing.sha256().hashBytes(body), NO_ACTION);
    }

    /** Returns a copy with another action for {@code onEnd}. */
    public JobBody onEnd(Runnable action) {
        return new JobBody(request, digest, action);
    }

    /**
     * Parses a JSON body.
     *
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST} if the body is not valid JSON of this type
     */
    public static <T> T parse(byte[] body, Class<T> type) throws DispatchException {
        T value;
        try {
            value = Json.mapper().readValue(body, type);
        } catch (JsonProcessingException e) {
            throw malformed(e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw malformed(e.toString(), e);
        }
        if (value == null) {
            throw malformed("the JSON value is null", null);
        }
        return value;
    }

    private static DispatchException malformed(String reason, Exception cause) {
        return new DispatchException(ErrorKind.MALFORMED_REQUEST, "cannot parse the request body: " + reason, cause);
    }
}
