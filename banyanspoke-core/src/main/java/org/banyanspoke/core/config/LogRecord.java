package org.banyanspoke.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A record of the platform's log.
 *
 * @param offset its position in the log
 * @param body its content; a record that is neither a ticket nor a snapshot is ignored
 */
public record LogRecord(long offset, JsonNode body) {}
