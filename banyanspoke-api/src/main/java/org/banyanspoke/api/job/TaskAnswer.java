package org.banyanspoke.api.job;

import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TaskId;

/**
 * The result of one completed task.
 *
 * @param id the task
 * @param result response body of the backend server
 * @param server the backend server that executed the task
 */
public record TaskAnswer(TaskId id, String result, ServerId server) {}
