package org.banyanspoke.kernel;

import java.util.Objects;

/**
 * Names a service and its type.
 *
 * @param value the name, unique within a kernel
 * @param type the type that {@link Kernel#lookup} returns
 * @param <T> the service's type
 */
public record ServiceName<T>(String value, Class<T> type) {
    /** Rejects null. */
    public ServiceName {
        Objects.requireNonNull(value);
        Objects.requireNonNull(type);
    }

    @Override
    public String toString() {
        return value;
    }
}
