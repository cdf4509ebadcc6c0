package org.banyanspoke.daemon.control;

/**
 * The owner's response, returned to the caller unchanged.
 *
 * @param httpStatus HTTP status
 * @param body JSON body
 * @param retryAfterMillis delay in milliseconds before a retry may succeed; 0 if unspecified
 */
public record ForwardReply(int httpStatus, byte[] body, long retryAfterMillis) {}
