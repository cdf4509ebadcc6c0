package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a task within its job.
 *
 * @param value a name of 1 to 63 characters, see {@link NameSyntax}
 */
public record TaskId(@JsonValue String value) implements Comparable<TaskId> {
    /**
     * @throws IllegalArgumentException if the value is not a valid name
     */
    @JsonCreator
    public TaskId {
        NameSyntax.requireValid("task id", value);
    }

    @Override
    public int compareTo(TaskId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
