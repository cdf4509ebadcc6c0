package org.banyanspoke.core.dispatch;

import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.TaskSpec;

/**
 * Request that sends one task to one backend server.
 *
 * @param attemptId unique within the process incarnation
 * @param job id of the job that the task belongs to
 * @param task the task to run
 * @param server the backend server
 * @param leaseMillis time in milliseconds after which the server must stop the task
 */
public record TaskAttempt(long attemptId, JobId job, TaskSpec task, ServerId server, long leaseMillis) {}
