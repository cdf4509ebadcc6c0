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
 * Submits a job and waits until it ends. When an answer is lost, the same id and body go to the next entry host, which
 * never starts a task twice.
 */
public final class SubmitJob {
    /** Longest wait of one poll; below the limit of 30 s of the API. */
    private static final long POLL_MILLIS = 1_000;

    private static final long ANSWER_MARGIN_MILLIS = 10_000;
    private static final long RETRY_PAUSE_MILLIS = 200;
    /** Time after which an unreachable owner is reported instead of asked again. */
    private static final long UNREACHABLE_LIMIT_MILLIS = 30_000;

    private final EntryHosts hosts;
    private final TeamId team;
    private final JobRequest request;
    private JobId jobId;
    private boolean wait = true;
    private Consumer<JobAnswer> progress = answer -> {};

    /** Creates a command that reserves an id, submits and waits. */
    public SubmitJob(EntryHosts hosts, TeamId team, JobRequest request) {
        this.hosts = hosts;
        this.team = team;
        this.request = request;
    }

    /** Sets an id reserved before, for a submission that can be repeated after the client itself has stopped. */
    public SubmitJob setJobId(JobId value) {
        jobId = value;
        return this;
    }

    /** Sets whether {@link #call} waits for the end of the job; true unless set. */
    public SubmitJob setWait(boolean value) {
        wait = value;
        return this;
    }

    /** Sets a callback that sees the state after each poll. */
    public SubmitJob setProgress(Consumer<JobAnswer> value) {
        progress = value;
        return this;
    }

    /**
     * Submits the job.
     *
     * @return the final answer, which may be that of a failed job, or the first state if not waiting
     * @throws DispatchException if the submission is refused
     * @throws ConnectionFailedException if no entry host answers; submit again with the same id
     */
    public JobAnswer call() throws DispatchException, ConnectionFailedException {
        if (jobId == null) {
            jobId = new ReserveJobIds(hosts, team).call().get(0);
        }
        String path = "/v1/teams/" + team + "/jobs/" + jobId;
        JobAnswer answer = exchange(HttpMethod.PUT, path + "?wait=false", request);
        while (wait && answer.state() == JobState.RUNNING) {
            progress.accept(answer);
            answer = exchange(HttpMethod.GET, path + "?waitMillis=" + POLL_MILLIS, null);
        }
        return answer;
    }

    private JobAnswer exchange(HttpMethod method, String path, Object body)
            throws DispatchException, ConnectionFailedException {
        long startNanos = System.nanoTime();
        for (int attempt = 0; ; attempt++) {
            boolean last = System.nanoTime() - startNanos > UNREACHABLE_LIMIT_MILLIS * 1_000_000;
            try {
                Response response = hosts.send(attempt, method, path, body, POLL_MILLIS + ANSWER_MARGIN_MILLIS);
                return response.jobAnswer();
            } catch (ConnectionFailedException e) {
                if (last) {
                    throw e;
                }
            } catch (DispatchException e) {
                if (last || e.kind() != ErrorKind.OWNER_UNREACHABLE) {
                    throw e;
                }
            }
            pause();
        }
    }

    private static void pause() throws ConnectionFailedException {
        try {
            Thread.sleep(RETRY_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConnectionFailedException("interrupted between two tries", e);
        }
    }
}
