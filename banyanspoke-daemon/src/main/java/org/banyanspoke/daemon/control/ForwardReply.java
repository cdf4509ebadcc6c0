package org.banyanspoke.daemon.control;

/**
 * The owner's response, passed on to the caller as it is.
 *
 * @param httpStatus HTTP status
 * @param body JSON body
 * @param retryAfterMillis when a new try may succeed, in milliseconds; 0 for no statement
 */
public record ForwardReply(int httpStatus, byte[] body, long retryAfterMillis) {}
