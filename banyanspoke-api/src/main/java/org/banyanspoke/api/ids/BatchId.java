package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a batch: a named class of work under one contract.
 *
 * @param value a name of 1 to 63 characters, see {@link NameSyntax}
 */
public record BatchId(@JsonValue String value) implements Comparable<BatchId> {
    /**
     * @throws IllegalArgumentException if the value is not a valid name
     */
    @JsonCreator
    public BatchId {
        NameSyntax.requireValid("batch id", value);
    }

    @Override
    public int compareTo(BatchId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
