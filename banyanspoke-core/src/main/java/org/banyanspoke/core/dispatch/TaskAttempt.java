package org.banyanspoke.core.dispatch;

import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.TaskSpec;

/**
 * One request for one task to one backend server.
 *
 * @param attemptId unique within the process incarnation
 * @param job the job
 * @param task the task
 * @param server the backend server
 * @param leaseMillis time until the server must stop the task, in milliseconds
 */
public record TaskAttempt(long attemptId, JobId job, TaskSpec task, ServerId server, long leaseMillis) {}
