package org.banyanspoke.core.admission.internal;

import java.time.Clock;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobRequest;
import org.banyanspoke.core.admission.AdmissionRequest;
import org.banyanspoke.core.config.ConfigState;

/** Validates jobs against the teams, batches and contracts of the accepted configuration. */
public final class ContractValidator {
    private static final long NOT_CONFIGURED_RETRY_MILLIS = 1_000;

    private final Clock wallClock;

    /** Creates a validator that compares contract expiry with a wall clock. */
    public ContractValidator(Clock wallClock) {
        this.wallClock = wallClock;
    }

    /**
     * Checks that the configuration contains the team.
     *
     * @throws RefusedException {@link ErrorKind#NOT_CONFIGURED} or {@link ErrorKind#UNKNOWN_TEAM}
     */
    public void checkTeam(ConfigState config, TeamId team) throws RefusedException {
        if (config.number() == 0) {
            throw new RefusedException(
                    ErrorKind.NOT_CONFIGURED,
                    "this host has not received a configuration yet",
                    NOT_CONFIGURED_RETRY_MILLIS);
        }
        if (!config.teams().containsKey(team)) {
            throw new RefusedException(ErrorKind.UNKNOWN_TEAM, "team \"" + team + "\" does not exist", 0);
        }
    }

    /**
     * Returns an admission request for a job that its batch's contract allows.
     *
     * @throws RefusedException as {@link #checkTeam}, and {@link ErrorKind#UNKNOWN_BATCH},
     *     {@link ErrorKind#CONTRACT_EXPIRED}, {@link ErrorKind#INVALID_JOB} for a promise longer than the batch's,
     *     or {@link ErrorKind#QUOTA_EXCEEDED} for a job with more tasks than the team's quota across all hosts
     */
    public AdmissionRequest check(ConfigState config, TeamId team, JobRequest job) throws RefusedException {
        checkTeam(config, team);
        BatchConfig batch = config.batches().get(job.batch());
        if (batch == null || !batch.team().equals(team)) {
            throw new RefusedException(
                    ErrorKind.UNKNOWN_BATCH, "team \"" + team + "\" has no batch \"" + job.batch() + "\"", 0);
        }
        if (isExpired(batch)) {
            throw new RefusedException(
                    ErrorKind.CONTRACT_EXPIRED,
                    "the contract of batch \"" + batch.id() + "\" expired at " + batch.contractExpiry(),
                    0);
        }
        int quota = config.teams().get(team).tasksInFlight();
        if (job.tasks().size() > quota) {
            throw new RefusedException(
                    ErrorKind.QUOTA_EXCEEDED,
                    "team \"" + team + "\" may have " + quota + " tasks in flight, but this job has "
                            + job.tasks().size(),
                    0);
        }
        return new AdmissionRequest(team, job, batch, promiseMillis(batch, job));
    }

    /** Returns whether the contract has expired, after which no task of the batch may start. */
    public boolean isExpired(BatchConfig batch) {
        return !wallClock.instant().isBefore(batch.contractExpiry());
    }

    private static long promiseMillis(BatchConfig batch, JobRequest job) throws RefusedException {
        if (job.promiseMillis() > batch.promiseMillis()) {
            throw new RefusedException(
                    ErrorKind.INVALID_JOB,
                    "promiseMillis is " + job.promiseMillis() + ", batch \"" + batch.id() + "\" allows at most "
                            + batch.promiseMillis(),
                    0);
        }
        return job.promiseMillis() == 0 ? batch.promiseMillis() : job.promiseMillis();
    }
}
