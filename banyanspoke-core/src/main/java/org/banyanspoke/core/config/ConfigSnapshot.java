package org.banyanspoke.core.config;

import java.util.Objects;
import org.banyanspoke.api.config.Ticket;

/**
 * The complete configuration at one log offset.
 *
 * <p>The offset is part of the snapshot because a ticket may be appended after a host takes the snapshot and before the
 * snapshot's record is in the log. A reader that resumed after the snapshot record would miss that ticket and could
 * accept a rejected one with the same number.
 *
 * @param number number of the last accepted ticket
 * @param nextOffset first offset whose record is not part of the state
 * @param state all configuration objects
 */
public record ConfigSnapshot(long number, long nextOffset, Ticket.Put state) {
    /** Rejects a null state. */
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
