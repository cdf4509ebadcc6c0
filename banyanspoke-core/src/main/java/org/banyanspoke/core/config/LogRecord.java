package org.banyanspoke.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One record of the platform's log.
 *
 * @param offset its position in the log
 * @param body its content; records that are no ticket and no snapshot are ignored
 */
public record LogRecord(long offset, JsonNode body) {}
