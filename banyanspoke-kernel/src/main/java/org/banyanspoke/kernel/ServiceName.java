package org.banyanspoke.kernel;

import java.util.Objects;

/**
 * Typed name of a service.
 *
 * @param value name, unique within a kernel
 * @param type type of the object returned by {@link Kernel#lookup}
 * @param <T> type of the service
 */
public record ServiceName<T>(String value, Class<T> type) {
    /** Checks that both components are non-null. */
    public ServiceName {
        Objects.requireNonNull(value);
        Objects.requireNonNull(type);
    }

    @Override
    public String toString() {
        return value;
    }
}
