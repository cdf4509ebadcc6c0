package org.banyanspoke.core.pool;

/**
 * What the configuration says of a queue's jobs.
 *
 * @param name the queue
 * @param service the service whose servers run the tasks
 * @param priority 0 goes first
 * @param attempts failed runs of a task after which the job has failed
 * @param stretch factor on the longest task within which a job is in time
 * @param targetLatencyMillis added to the stretched run time
 */
public record QueueTerms(
        String name, String service, int priority, int attempts, double stretch, long targetLatencyMillis) {}
