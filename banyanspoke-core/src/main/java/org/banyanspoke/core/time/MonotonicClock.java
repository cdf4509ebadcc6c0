package org.banyanspoke.core.time;

/** A clock that never goes back and is not affected by steps of the wall clock. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns nanoseconds since an arbitrary origin. */
    long nanos();

    /** Returns milliseconds since the same origin. */
    default long millis() {
        return nanos() / 1_000_000;
    }
}
