package org.banyanspoke.core.pool;

/**
 * Rule that maps requests to a queue.
 *
 * @param hostName host name of the request
 * @param pathPrefix prefix of the request path; the rest is the job id
 * @param queuePolicy policy of the queue
 */
public record QueueRoute(String hostName, String pathPrefix, QueuePolicy queuePolicy) {}
