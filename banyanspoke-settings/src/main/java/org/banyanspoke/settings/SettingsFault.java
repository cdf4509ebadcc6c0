package org.banyanspoke.settings;

/**
 * One fault in the settings.
 *
 * @param path the field, such as {@code callers.address}
 * @param value what was found, as JSON, or "absent"
 * @param allowed what is allowed there
 */
public record SettingsFault(String path, String value, String allowed) {
    @Override
    public String toString() {
        return path + ": found " + value + ", allowed: " + allowed;
    }
}
