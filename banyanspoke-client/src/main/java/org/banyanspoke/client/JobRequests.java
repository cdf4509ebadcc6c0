package org.banyanspoke.client;

import io.vertx.core.http.HttpMethod;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/** Reads or cancels one job. */
public final class JobRequests {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final EntryHosts hosts;
    private final TeamId team;
    private final JobId jobId;

    /** Creates requests for one job. */
    public JobRequests(EntryHosts hosts, TeamId team, JobId jobId) {
        this.hosts = hosts;
        this.team = team;
        this.jobId = jobId;
    }

    /**
     * Returns the present state.
     *
     * @throws DispatchException if the job is not known or its owner cannot be asked
     * @throws ConnectionFailedException if the entry host does not answer
     */
    public JobAnswer status() throws DispatchException, ConnectionFailedException {
        return send(HttpMethod.GET);
    }

    /**
     * Cancels the job and returns its state.
     *
     * @throws DispatchException if the job is not known or its owner cannot be asked
     * @throws ConnectionFailedException if the entry host does not answer; cancelling again does no harm
     */
    public JobAnswer cancel() throws DispatchException, ConnectionFailedException {
        return send(HttpMethod.DELETE);
    }

    private JobAnswer send(HttpMethod method) throws DispatchException, ConnectionFailedException {
        return hosts.send(0, method, "/v1/teams/" + team + "/jobs/" + jobId, null, TIMEOUT_MILLIS)
                .jobAnswer();
    }
}
