package org.banyanspoke.api.job;

import org.banyanspoke.api.ids.TaskId;

/**
 * One task of a submission.
 *
 * @param id unique within the job
 * @param payload opaque text that is sent to the backend server
 * @param declaredMillis the caller's estimate of the run time in milliseconds; may be far off
 * @param idempotent whether running the task twice would do no harm; false when absent
 */
public record TaskSpec(TaskId id, String payload, long declaredMillis, boolean idempotent) {}
