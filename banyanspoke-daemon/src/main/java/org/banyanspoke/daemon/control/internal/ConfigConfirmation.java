package org.banyanspoke.daemon.control.internal;

import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.control.Readiness;

/**
 * Tracks whether this host's configuration is confirmed. After a process pause the host may have missed tickets, so it
 * rejects new jobs until the log or a peer has confirmed its configuration number. After 2 s without confirmation the
 * host counts as partitioned and serves with the configuration it has.
 */
public final class ConfigConfirmation {
    /** A longer interval between two ticks counts as a process pause; ticks are 100 ms apart. */
    private static final long PAUSE_MILLIS = 1_000;

    private static final long PARTITIONED_AFTER_MILLIS = 2_000;

    private final MonotonicClock clock;
    private final ConfigHolder config;
    private volatile long lastTickMillis;
    private long resumedMillis;
    private boolean confirmed;

    /**
     * @param clock detects pauses
     * @param config the configuration
     */
    public ConfigConfirmation(MonotonicClock clock, ConfigHolder config) {
        this.clock = clock;
        this.config = config;
        this.lastTickMillis = clock.millis();
        this.resumedMillis = clock.millis();
    }

    /**
     * Records that the control thread is running.
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

    /** Records that the log or a peer has confirmed the configuration number. */
    public void onConfirmed() {
        confirmed = true;
    }

    /** Returns whether the configuration number was confirmed after the latest pause. */
    public boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Returns whether the control thread has not run for longer than the pause threshold. Thread-safe: after a pause,
     * threads that accept jobs may run before the control thread does.
     */
    public boolean isStalled() {
        return clock.millis() - lastTickMillis > PAUSE_MILLIS;
    }

    /** Returns whether new jobs may be accepted. */
    public Readiness readiness() {
        if (config.state().number() == 0) {
            return Readiness.notReady("this host has no configuration yet");
        }
        boolean partitioned = clock.millis() - resumedMillis >= PARTITIONED_AFTER_MILLIS;
        if (confirmed || partitioned) {
            return Readiness.READY;
        }
        return Readiness.notReady("the configuration has not been confirmed since the process started or was paused");
    }
}
