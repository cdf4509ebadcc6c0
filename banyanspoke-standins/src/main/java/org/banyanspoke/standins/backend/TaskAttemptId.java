package org.banyanspoke.standins.backend;

/**
 * Identifies an attempt to execute a task.
 *
 * @param jobId job id, empty if the request has none
 * @param taskId task id, empty if the request has none
 * @param attempt attempt id
 */
public record TaskAttemptId(String jobId, String taskId, String attempt) {}
