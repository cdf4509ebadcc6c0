package org.banyanspoke.standins.backend;

/**
 * Identifies one attempt at a task.
 *
 * @param jobId the job, empty if the request named none
 * @param taskId the task
 * @param attempt the attempt
 */
public record TaskKey(String jobId, String taskId, String attempt) {}
