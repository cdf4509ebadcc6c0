package org.banyanspoke.daemon.jobs;

import org.banyanspoke.api.errors.RefusedException;

/** Decides whether this host accepts new work. */
@FunctionalInterface
public interface AdmissionGate {
    /**
     * Returns normally if new work is accepted.
     *
     * @throws RefusedException with {@code DRAINING} or {@code NOT_CONFIGURED} if new work is refused
     */
    void check() throws RefusedException;
}
