package org.banyanspoke.core.pool;

/**
 * Configured scheduling policy for the jobs of a queue.
 *
 * @param name name of the queue
 * @param service service whose servers run the tasks
 * @param priority 0 is the highest priority
 * @param maxAttempts number of failed runs of a task after which the job fails
 * @param stretch factor on the run time of the longest task that gives the target time, before the target latency
 * @param targetLatencyMillis latency allowance added to the stretched run time
 */
public record QueuePolicy(
        String name, String service, int priority, int maxAttempts, double stretch, long targetLatencyMillis) {}
