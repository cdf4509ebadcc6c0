package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a backend server.
 *
 * @param value a name of 1 to 63 characters, see {@link NameSyntax}
 */
public record ServerId(@JsonValue String value) implements Comparable<ServerId> {
    /**
     * @throws IllegalArgumentException if the value is not a valid name
     */
    @JsonCreator
    public ServerId {
        NameSyntax.requireValid("server id", value);
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
