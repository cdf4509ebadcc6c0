package org.banyanspoke.core.pool;

/**
 * Queued work of one priority.
 *
 * @param priority the priority; 0 is the most urgent
 * @param millicores processor capacity that the queued tasks occupy when they run, in thousandths of a core; includes
 *     the part of their servers that no task of their size can use
 */
public record QueuedCapacity(int priority, long millicores) {}
