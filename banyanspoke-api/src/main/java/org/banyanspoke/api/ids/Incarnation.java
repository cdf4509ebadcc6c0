package org.banyanspoke.api.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of an entry host process: 64 random bits, generated at every start.
 *
 * @param value the random bits
 */
public record Incarnation(long value) {
    /**
     * Parses the 16 hexadecimal digits that {@link #toString} returns.
     *
     * @throws IllegalArgumentException if the text is not 16 hexadecimal digits
     */
    @JsonCreator
    public static Incarnation parse(String text) {
        if (text == null || text.length() != 16) {
            throw new IllegalArgumentException("incarnation \"" + text + "\" is not 16 hexadecimal digits");
        }
        return new Incarnation(Long.parseUnsignedLong(text, 16));
    }

    @JsonValue
    @Override
    public String toString() {
        return String.format("%016x", value);
    }
}
