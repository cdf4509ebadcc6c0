package org.banyanspoke.api.job;

import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TaskId;

/**
 * The result of one completed task.
 *
 * @param id the task
 * @param result the body that the backend server returned
 * @param server the backend server that ran it
 */
public record TaskAnswer(TaskId id, String result, ServerId server) {}
