package org.banyanspoke.client;

import io.vertx.core.http.HttpMethod;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/** Client for the status and the cancellation of one job. */
public final class JobClient {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final EntryHostClient client;
    private final TeamId team;
    private final JobId jobId;

    /** Creates a client for one job. */
    public JobClient(EntryHostClient client, TeamId team, JobId jobId) {
        this.client = client;
        this.team = team;
        this.jobId = jobId;
    }

    /**
     * Returns the current state of the job.
     *
     * @throws DispatchException if the job is unknown or its owner is unreachable
     * @throws ConnectionFailedException if the entry host does not respond
     */
    public JobAnswer status() throws DispatchException, ConnectionFailedException {
        return send(HttpMethod.GET);
    }

    /**
     * Cancels the job and returns its state.
     *
     * @throws DispatchException if the job is unknown or its owner is unreachable
     * @throws ConnectionFailedException if the entry host does not respond; the cancellation may be repeated safely
     */
    public JobAnswer cancel() throws DispatchException, ConnectionFailedException {
        return send(HttpMethod.DELETE);
    }

    private JobAnswer send(HttpMethod method) throws DispatchException, ConnectionFailedException {
        return client.send(0, method, "/v1/teams/" + team + "/jobs/" + jobId, null, TIMEOUT_MILLIS)
                .jobAnswer();
    }
}
