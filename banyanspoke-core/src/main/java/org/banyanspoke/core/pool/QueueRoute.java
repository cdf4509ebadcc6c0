package org.banyanspoke.core.pool;

/**
 * Which requests belong to a queue.
 *
 * @param hostName the requested host name
 * @param pathPrefix how the path begins; what follows is the job id
 * @param terms what the configuration says of the queue's jobs
 */
public record QueueRoute(String hostName, String pathPrefix, QueueTerms terms) {}
