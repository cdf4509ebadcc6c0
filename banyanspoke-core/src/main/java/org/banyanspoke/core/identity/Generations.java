package org.banyanspoke.core.identity;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Numbers the 30 s intervals of a process, so that a job id tells how old it is. Depends on the process's own monotonic
 * clock only; a pause of the process closes generations and never opens an old one again.
 */
public final class Generations {
    /** Length of a generation, in nanoseconds. */
    public static final long LENGTH_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Number of open generations: the present one and 10 more, so that an id may start work for at least 5 minutes. */
    public static final int WINDOW = 11;

    private final MonotonicClock clock;
    private final long originNanos;

    /** Opens generation 0 now. */
    public Generations(MonotonicClock clock) {
        this.clock = clock;
        this.originNanos = clock.nanos();
    }

    /** Returns the present generation. */
    public int current() {
        return (int) ((clock.nanos() - originNanos) / LENGTH_NANOS);
    }

    /** Returns the oldest generation whose ids may start work. */
    public int oldestOpen() {
        return Math.max(0, current() - WINDOW + 1);
    }

    /** Returns whether ids of the generation may start work. */
    public boolean isOpen(int generation) {
        int current = current();
        return generation <= current && generation > current - WINDOW;
    }
}
