package org.banyanspoke.core.admission;

import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobRequest;

/**
 * A job that asks for admission.
 *
 * @param team the authenticated team
 * @param job the job
 * @param batch its batch in the accepted configuration
 * @param promiseMillis time from now to the job's deadline, in milliseconds
 */
public record AdmissionRequest(TeamId team, JobRequest job, BatchConfig batch, long promiseMillis) {}
