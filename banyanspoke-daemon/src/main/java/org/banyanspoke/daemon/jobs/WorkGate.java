package org.banyanspoke.daemon.jobs;

import org.banyanspoke.api.errors.RefusedException;

/** Decides whether this host takes new work at all. */
@FunctionalInterface
public interface WorkGate {
    /**
     * Lets new work pass.
     *
     * @throws RefusedException with {@code DRAINING} or {@code NOT_CONFIGURED}
     */
    void check() throws RefusedException;
}
