package org.banyanspoke.api.job;

/**
 * Number of a job's tasks in each state.
 *
 * @param waiting not yet sent to a backend server
 * @param sent sent, no response yet
 * @param done completed
 * @param failed reported as failed by a backend server
 * @param unknown sent, outcome unknown
 * @param notStarted not sent, and will not be sent
 */
public record JobCounts(int waiting, int sent, int done, int failed, int unknown, int notStarted) {}
