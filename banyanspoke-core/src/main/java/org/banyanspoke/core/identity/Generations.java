package org.banyanspoke.core.identity;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Numbers the 30 s intervals since the start of a process, so that the generation in a job id gives the age of the id.
 * Depends only on the monotonic clock of the process; a pause of the process closes generations and never reopens one.
 */
public final class Generations {
    /** Duration of a generation, in nanoseconds. */
    public static final long LENGTH_NANOS = TimeUnit.SECONDS.toNanos(30);

    /**
     * Number of open generations: the current one and the 10 before it, so that an id may start a job for at least 5
     * minutes.
     */
    public static final int OPEN_GENERATIONS = 11;

    private final MonotonicClock clock;
    private final long originNanos;

    /** Starts generation 0 at the current time. */
    public Generations(MonotonicClock clock) {
        this.clock = clock;
        this.originNanos = clock.nanos();
    }

    /** Returns the current generation. */
    public int current() {
        return (int) ((clock.nanos() - originNanos) / LENGTH_NANOS);
    }

    /** Returns the oldest generation whose ids may start a job. */
    public int oldestOpen() {
        return Math.max(0, current() - OPEN_GENERATIONS + 1);
    }

    /** Returns whether ids of the generation may start a job. */
    public boolean isOpen(int generation) {
        int current = current();
        return generation <= current && generation > current - OPEN_GENERATIONS;
    }
}
