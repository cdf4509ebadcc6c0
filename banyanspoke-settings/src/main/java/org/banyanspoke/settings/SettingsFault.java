package org.banyanspoke.settings;

/**
 * Fault found while reading or validating the settings.
 *
 * @param path path of the field, such as {@code callers.address}, or of the file
 * @param value actual value as JSON, "absent", or the error that prevented reading
 * @param allowed description of the allowed values
 */
public record SettingsFault(String path, String value, String allowed) {
    @Override
    public String toString() {
        return path + ": found " + value + ", allowed: " + allowed;
    }
}
