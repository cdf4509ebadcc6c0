package org.banyanspoke.api.job;

/**
 * Number of a job's tasks in each state.
 *
 * @param waiting not sent yet
 * @param sent sent and not answered
 * @param done completed
 * @param failed reported as failed by a backend server
 * @param unknown sent, outcome not known
 * @param notStarted never sent, and never will be
 */
public record JobCounts(int waiting, int sent, int done, int failed, int unknown, int notStarted) {}
