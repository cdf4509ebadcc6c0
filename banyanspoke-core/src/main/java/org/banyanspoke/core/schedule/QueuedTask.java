package org.banyanspoke.core.schedule;

import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.job.TaskSpec;

/**
 * Task that waits to be sent.
 *
 * @param job id of its job
 * @param index position in the job
 * @param task the task
 * @param batch configuration of its batch at the admission of the job
 * @param teamWeight weight of its team
 * @param deadlineNanos monotonic time of the deadline of the job
 * @param enqueuedNanos monotonic time at which the task was enqueued
 */
public record QueuedTask(
        JobId job,
        int index,
        TaskSpec task,
        BatchConfig batch,
        int teamWeight,
        long deadlineNanos,
        long enqueuedNanos) {}
