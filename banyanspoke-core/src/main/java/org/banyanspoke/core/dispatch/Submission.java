package org.banyanspoke.core.dispatch;

import com.google.common.hash.HashCode;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobRequest;

/**
 * Job submission that passed {@link JobRequest#validate}.
 *
 * @param team the authenticated team
 * @param jobId an id issued by this process
 * @param request the requested job
 * @param bodyDigest SHA-256 of the request body as received
 */
public record Submission(TeamId team, JobId jobId, JobRequest request, HashCode bodyDigest) {}
