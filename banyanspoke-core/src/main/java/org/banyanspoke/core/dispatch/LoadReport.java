package org.banyanspoke.core.dispatch;

/**
 * Load that a backend server reported with a response.
 *
 * @param running tasks that it is executing
 * @param queued requests that wait in its queue
 * @param slots maximum number of tasks that it executes concurrently
 */
public record LoadReport(int running, int queued, int slots) {}
