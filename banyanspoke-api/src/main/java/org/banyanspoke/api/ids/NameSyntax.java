package org.banyanspoke.api.ids;

import java.util.regex.Pattern;

/** Syntax of the names that operators and callers assign. */
final class NameSyntax {
    /** Letters, digits, dot, underscore and hyphen, starting with a letter or digit; safe in paths and log fields. */
    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    private NameSyntax() {}

    /**
     * @throws IllegalArgumentException if the value is null or not a valid name
     */
    static void requireValid(String kind, String value) {
        if (value == null || !VALID.matcher(value).matches()) {
            throw new IllegalArgumentException(kind + " \"" + value
                    + "\" is not valid: 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit");
        }
    }
}
