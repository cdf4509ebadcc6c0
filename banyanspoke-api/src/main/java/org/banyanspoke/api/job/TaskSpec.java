package org.banyanspoke.api.job;

import org.banyanspoke.api.ids.TaskId;

/**
 * One task of a submitted job.
 *
 * @param id unique within the job
 * @param payload opaque text that is passed to the backend server unchanged
 * @param declaredMillis the caller's estimate of the run time, in milliseconds; may be inaccurate
 * @param idempotent whether the task may safely run more than once; false if absent
 */
public record TaskSpec(TaskId id, String payload, long declaredMillis, boolean idempotent) {}
