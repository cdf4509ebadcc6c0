package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an entry host.
 *
 * @param value a name of 1 to 63 characters, see {@link NameSyntax}
 */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /**
     * @throws IllegalArgumentException if the value is not a valid name
     */
    @JsonCreator
    public HostId {
        NameSyntax.requireValid("host id", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
