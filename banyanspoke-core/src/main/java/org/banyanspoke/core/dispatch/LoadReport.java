package org.banyanspoke.core.dispatch;

/**
 * Load that a backend server reported with an answer.
 *
 * @param running tasks it executes
 * @param queued requests that wait in it
 * @param slots tasks it can execute at once
 */
public record LoadReport(int running, int queued, int slots) {}
