package org.banyanspoke.core.admission;

import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobRequest;

/**
 * Submitted job to be admitted or refused.
 *
 * @param team authenticated team
 * @param job submitted job
 * @param batch batch of the job in the accepted configuration
 * @param promiseMillis time from submission to the job's deadline
 */
public record AdmissionRequest(TeamId team, JobRequest job, BatchConfig batch, long promiseMillis) {}
