package org.banyanspoke.core.pool.internal;

import org.banyanspoke.core.time.MonotonicClock;

/**
 * Lower bound of the clock of one backend server. A deadline that is based on it is never later than intended, however
 * old the last reading is and however slow the server's clock runs within its limit.
 */
final class ServerClock {
    /** Lowest speed of a server's clock, relative to the clock of this process. */
    private static final double MIN_RATE = 0.98;

    private final MonotonicClock localClock;
    private long readingMillis;
    private long readAtMillis;

    /** @param localClock clock of this process */
    ServerClock(MonotonicClock localClock) {
        this.localClock = localClock;
        this.readAtMillis = localClock.millis();
    }

    /** Records a reading from a reply that has just been received; 0 if the reply has none. */
    void record(long clockMillis) {
        if (clockMillis > 0) {
            readingMillis = clockMillis;
            readAtMillis = localClock.millis();
        }
    }

    /** Discards all readings, because the server has restarted and its clock with it. */
    void reset() {
        readingMillis = 0;
        readAtMillis = localClock.millis();
    }

    /** Returns a time that the server's clock has certainly reached. */
    long lowerBoundMillis() {
        return readingMillis + (long) ((localClock.millis() - readAtMillis) * MIN_RATE);
    }
}
