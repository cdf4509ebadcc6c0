package org.banyanspoke.daemon.control;

/**
 * Whether the control plane admits new jobs.
 *
 * @param ready whether the configuration is confirmed
 * @param reason human-readable reason; empty if ready
 */
public record Readiness(boolean ready, String reason) {
    /** The configuration is confirmed. */
    public static final Readiness READY = new Readiness(true, "");

    /** Returns the readiness of a host that must reject new jobs. */
    public static Readiness notReady(String reason) {
        return new Readiness(false, reason);
    }
}
