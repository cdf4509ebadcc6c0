package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a client account (team), which owns batches and has a quota.
 *
 * @param value a name of 1 to 63 characters, see {@link NameSyntax}
 */
public record TeamId(@JsonValue String value) implements Comparable<TeamId> {
    /**
     * @throws IllegalArgumentException if the value is not a valid name
     */
    @JsonCreator
    public TeamId {
        NameSyntax.requireValid("team id", value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
