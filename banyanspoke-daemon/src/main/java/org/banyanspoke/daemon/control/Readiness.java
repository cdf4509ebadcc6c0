package org.banyanspoke.daemon.control;

/**
 * Whether the control plane allows new work.
 *
 * @param ready whether the configuration is confirmed
 * @param reason why not, for people; empty if ready
 */
public record Readiness(boolean ready, String reason) {
    /** The configuration is confirmed. */
    public static final Readiness READY = new Readiness(true, "");

    /** Returns the state of a host that must refuse new work. */
    public static Readiness notReady(String reason) {
        return new Readiness(false, reason);
    }
}
