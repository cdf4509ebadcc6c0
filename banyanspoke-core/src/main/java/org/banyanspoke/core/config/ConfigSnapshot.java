package org.banyanspoke.core.config;

import java.util.Objects;
import org.banyanspoke.api.config.Ticket;

/**
 * The whole configuration at one position of the log.
 *
 * <p>The position is part of the snapshot because a ticket may be appended between the moment a host takes the snapshot
 * and the moment its record reaches the log. A reader that continued after the snapshot's own record would miss that
 * ticket and could accept a rejected one with the same number.
 *
 * @param number number of the last accepted ticket
 * @param nextOffset the state is the result of every record before this offset
 * @param state all objects
 */
public record ConfigSnapshot(long number, long nextOffset, Ticket.Put state) {
    /** Rejects null. */
    public ConfigSnapshot {
        Objects.requireNonNull(state, "state");
    }

    /** Returns the snapshot of a configuration. */
    public static ConfigSnapshot of(ConfigState config, long nextOffset) {
        return new ConfigSnapshot(config.number(), nextOffset, ConfigStates.toPut(config));
    }

    /** Returns the configuration. */
    public ConfigState toState() {
        return ConfigStates.fromPut(number, state);
    }
}
