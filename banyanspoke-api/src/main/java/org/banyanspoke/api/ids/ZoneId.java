package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an availability zone.
 *
 * @param value a name of 1 to 63 characters, see {@link NameSyntax}
 */
public record ZoneId(@JsonValue String value) implements Comparable<ZoneId> {
    /**
     * @throws IllegalArgumentException if the value is not a valid name
     */
    @JsonCreator
    public ZoneId {
        NameSyntax.requireValid("zone id", value);
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
