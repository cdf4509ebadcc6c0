package org.banyanspoke.core.pool;

import java.util.regex.Pattern;

/**
 * Job id assigned by the caller; a resubmission of the job carries the same id.
 *
 * @param value 16 hexadecimal digits
 */
public record CallerJobId(String value) {
    private static final Pattern VALID = Pattern.compile("[0-9a-fA-F]{16}");

    /**
     * @throws IllegalArgumentException if the value is not 16 hexadecimal digits
     */
    public CallerJobId {
        if (value == null || !VALID.matcher(value).matches()) {
            throw new IllegalArgumentException("job id \"" + value + "\" is not 16 hexadecimal digits");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
