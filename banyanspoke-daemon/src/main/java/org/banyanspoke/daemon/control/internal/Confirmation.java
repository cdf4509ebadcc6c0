package org.banyanspoke.daemon.control.internal;

import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.control.Readiness;

/**
 * Whether this host's configuration is confirmed. After a pause the host may have missed tickets, so it refuses new work
 * until the log or a peer has confirmed its number, or until it has tried for 2 s: then it is partitioned and serves with
 * what it has.
 */
public final class Confirmation {
    /** The design's limit between two ticks; ticks are 100 ms apart. */
    private static final long PAUSE_MILLIS = 1_000;

    private static final long PARTITIONED_AFTER_MILLIS = 2_000;

    private final MonotonicClock clock;
    private final ConfigHolder config;
    private volatile long lastTickMillis;
    private long resumedMillis;
    private boolean confirmed;

    /**
     * @param clock finds pauses
     * @param config the configuration
     */
    public Confirmation(MonotonicClock clock, ConfigHolder config) {
        this.clock = clock;
        this.config = config;
        this.lastTickMillis = clock.millis();
        this.resumedMillis = clock.millis();
    }

    /**
     * Notes that the control thread runs.
     *
     * @return whether this process was paused since the previous call
     */
    public boolean tick() {
        long nowMillis = clock.millis();
        boolean paused = nowMillis - lastTickMillis > PAUSE_MILLIS;
        lastTickMillis = nowMillis;
        if (paused) {
            confirmed = false;
            resumedMillis = nowMillis;
        }
        return paused;
    }

    /** The log or a peer has confirmed the number. */
    public void onConfirmed() {
        confirmed = true;
    }

    /** Returns whether the number was confirmed after the latest pause. */
    public boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Returns whether the control thread has not run for longer than a pause. May be called from any thread: after a
     * pause the threads that take work may run before the control thread does.
     */
    public boolean isStalled() {
        return clock.millis() - lastTickMillis > PAUSE_MILLIS;
    }

    /** Returns whether new work may be accepted. */
    public Readiness readiness() {
        if (config.state().number() == 0) {
            return Readiness.notReady("this host has no configuration yet");
        }
        boolean partitioned = clock.millis() - resumedMillis >= PARTITIONED_AFTER_MILLIS;
        if (confirmed || partitioned) {
            return Readiness.READY;
        }
        return Readiness.notReady("the configuration was not confirmed since the start or a pause");
    }
}
