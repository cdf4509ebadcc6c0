package org.banyanspoke.daemon.http;

import java.util.Map;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobState;

/** Responses that describe a job; the same for callers and for forwarded requests. */
final class JobAnswers {
    static final String JOB_ID_HEADER = "Job-Id";

    private JobAnswers() {}

    /** Returns the response to a submission. */
    static HttpAnswer submitted(JobAnswer answer) {
        return of(answer.state() == JobState.RUNNING ? HttpAnswer.ACCEPTED : HttpAnswer.OK, answer);
    }

    /** Returns the response to a question for the state. */
    static HttpAnswer status(JobAnswer answer) {
        return of(HttpAnswer.OK, answer);
    }

    /** Returns the response to a cancellation, which has succeeded even if the job is reported as failed. */
    static HttpAnswer cancelled(JobAnswer answer) {
        return new HttpAnswer(HttpAnswer.OK, headers(answer), answer);
    }

    private static HttpAnswer of(int status, JobAnswer answer) {
        int actual = answer.state() == JobState.FAILED ? answer.error().kind().httpStatus() : status;
        return new HttpAnswer(actual, headers(answer), answer);
    }

    private static Map<String, String> headers(JobAnswer answer) {
        return Map.of(JOB_ID_HEADER, answer.jobId().toString());
    }
}
