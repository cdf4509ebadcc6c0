package org.banyanspoke.core.time;

/** Clock that never goes backwards and is not affected by adjustments of the wall clock. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the time in nanoseconds since an arbitrary origin. */
    long nanos();

    /** Returns the time in milliseconds since the same origin. */
    default long millis() {
        return nanos() / 1_000_000;
    }
}
