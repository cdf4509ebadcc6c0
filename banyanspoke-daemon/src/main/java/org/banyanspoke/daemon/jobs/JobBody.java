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
 * The body of a submission, parsed and checked.
 *
 * @param request the job
 * @param digest SHA-256 of the bytes as received; decides whether a resubmission is the same
 * @param onEnd run once the job has ended or the submission is refused, when the request is no longer held
 */
public record JobBody(JobRequest request, HashCode digest, Runnable onEnd) {
    private static final Runnable NOTHING = () -> {};

    /**
     * Parses and checks a body.
     *
     * @throws RefusedException with {@link ErrorKind#INVALID_JOB} if the job breaks a rule
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST} if the body is not a {@link JobRequest}
     */
    public static JobBody parse(byte[] body) throws DispatchException {
        JobRequest request = parse(body, JobRequest.class);
        request.validate();
        return new JobBody(request, Hashing.sha256().hashBytes(body), NOTHING);
    }

    /** Returns the same body with another action at the end. */
    public JobBody onEnd(Runnable action) {
        return new JobBody(request, digest, action);
    }

    /**
     * Parses a JSON body.
     *
     * @throws DispatchException with {@link ErrorKind#MALFORMED_REQUEST}
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
            throw malformed("the body is null", null);
        }
        return value;
    }

    private static DispatchException malformed(String reason, Exception cause) {
        return new DispatchException(ErrorKind.MALFORMED_REQUEST, "the body cannot be read: " + reason, cause);
    }
}
