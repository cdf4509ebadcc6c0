package org.banyanspoke.daemon.http;

import java.util.Map;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobState;

/** Creates responses that describe a job, for direct and forwarded requests alike. */
final class JobResponses {
    static final String JOB_ID_HEADER = "Job-Id";

    private JobResponses() {}

    /** Returns the response to a submission. */
    static HttpResponse submitted(JobAnswer answer) {
        return of(answer.state() == JobState.RUNNING ? HttpResponse.ACCEPTED : HttpResponse.OK, answer);
    }

    /** Returns the response to a status request. */
    static HttpResponse status(JobAnswer answer) {
        return of(HttpResponse.OK, answer);
    }

    /** Returns the response to a cancellation, which is a success although the cancelled job is reported as failed. */
    static HttpResponse cancelled(JobAnswer answer) {
        return new HttpResponse(HttpResponse.OK, headers(answer), answer);
    }

    private static HttpResponse of(int status, JobAnswer answer) {
        int actualStatus =
                answer.state() == JobState.FAILED ? answer.error().kind().httpStatus() : status;
        return new HttpResponse(actualStatus, headers(answer), answer);
    }

    private static Map<String, String> headers(JobAnswer answer) {
        return Map.of(JOB_ID_HEADER, answer.jobId().toString());
    }
}
