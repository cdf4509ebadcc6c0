package org.banyanspoke.core.schedule;

import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.job.TaskSpec;

/**
 * A task that waits to be sent.
 *
 * @param job its job
 * @param index position in the job
 * @param task the task
 * @param batch its batch as accepted when the job was admitted
 * @param teamWeight weight of its team
 * @param deadlineNanos monotonic time of the job's deadline
 * @param enqueuedNanos monotonic time at which it was queued
 */
public record QueuedTask(
        JobId job,
        int index,
        TaskSpec task,
        BatchConfig batch,
        int teamWeight,
        long deadlineNanos,
        long enqueuedNanos) {}
