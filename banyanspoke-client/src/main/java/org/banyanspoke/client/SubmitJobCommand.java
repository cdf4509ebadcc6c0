package org.banyanspoke.client;

import io.vertx.core.http.HttpMethod;
import java.util.function.Consumer;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.api.job.JobState;

/**
 * Submits a job and waits until it ends. If a response is lost, the request is retried with the same id and body at the
 * next entry host; the id prevents tasks from being started twice.
 */
public final class SubmitJobCommand {
    /** Server-side wait of one poll; the API allows at most 30 s. */
    private static final long POLL_WAIT_MILLIS = 1_000;

    private static final long RESPONSE_MARGIN_MILLIS = 10_000;
    private static final long RETRY_DELAY_MILLIS = 200;
    /** Time after which a request is no longer retried when no entry host responds or the owner is unreachable. */
    private static final long RETRY_LIMIT_MILLIS = 30_000;

    private final EntryHostClient client;
    private final TeamId team;
    private final JobRequest request;
    private JobId jobId;
    private boolean wait = true;
    private Consumer<JobAnswer> progressListener = answer -> {};

    /** Creates a command that reserves a job id, submits the job and waits for its end. */
    public SubmitJobCommand(EntryHostClient client, TeamId team, JobRequest request) {
        this.client = client;
        this.team = team;
        this.request = request;
    }

    /** Sets a previously reserved id, so that the submission can be repeated after a crash of the client. */
    public SubmitJobCommand setJobId(JobId value) {
        jobId = value;
        return this;
    }

    /** Sets whether {@link #call} waits for the end of the job; the default is true. */
    public SubmitJobCommand setWait(boolean value) {
        wait = value;
        return this;
    }

    /** Sets a listener that receives the state of the running job before each poll. */
    public SubmitJobCommand setProgressListener(Consumer<JobAnswer> value) {
        progressListener = value;
        return this;
    }

    /**
     * Submits the job.
     *
     * @return the final state of the job, which may have failed, or the state on acceptance if not waiting
     * @throws DispatchException if an entry host responds with an error
     * @throws ConnectionFailedException if no entry host responds; the submission may be repeated with the same id
     */
    public JobAnswer call() throws DispatchException, ConnectionFailedException {
        if (jobId == null) {
            jobId = new ReserveJobIdsCommand(client, team).call().get(0);
        }
        String path = "/v1/teams/" + team + "/jobs/" + jobId;
        JobAnswer answer = sendWithRetries(HttpMethod.PUT, path + "?wait=false", request);
        while (wait && answer.state() == JobState.RUNNING) {
            progressListener.accept(answer);
            answer = sendWithRetries(HttpMethod.GET, path + "?waitMillis=" + POLL_WAIT_MILLIS, null);
        }
        return answer;
    }

    private JobAnswer sendWithRetries(HttpMethod method, String path, Object body)
            throws DispatchException, ConnectionFailedException {
        long startNanos = System.nanoTime();
        for (int attempt = 0; ; attempt++) {
            boolean lastAttempt = System.nanoTime() - startNanos > RETRY_LIMIT_MILLIS * 1_000_000;
            try {
                Response response = client.send(attempt, method, path, body, POLL_WAIT_MILLIS + RESPONSE_MARGIN_MILLIS);
                return response.jobAnswer();
            } catch (ConnectionFailedException e) {
                if (lastAttempt) {
                    throw e;
                }
            } catch (DispatchException e) {
                if (lastAttempt || e.kind() != ErrorKind.OWNER_UNREACHABLE) {
                    throw e;
                }
            }
            sleepBeforeRetry();
        }
    }

    private static void sleepBeforeRetry() throws ConnectionFailedException {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConnectionFailedException("interrupted while waiting to retry", e);
        }
    }
}
