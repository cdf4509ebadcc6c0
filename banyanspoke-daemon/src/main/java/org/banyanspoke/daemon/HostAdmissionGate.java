package org.banyanspoke.daemon;

import java.util.function.Supplier;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.daemon.control.Readiness;
import org.banyanspoke.daemon.jobs.AdmissionGate;

/** Refuses new work while the host is draining or has no confirmed configuration. Thread-safe. */
final class HostAdmissionGate implements AdmissionGate {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Supplier<Readiness> readiness;
    private volatile boolean draining;

    /**
     * @param readiness supplies the readiness of the control plane
     */
    HostAdmissionGate(Supplier<Readiness> readiness) {
        this.readiness = readiness;
    }

    /** Refuses all new work from this call on. */
    void startDraining() {
        draining = true;
    }

    @Override
    public void check() throws RefusedException {
        if (draining) {
            throw new RefusedException(
                    ErrorKind.DRAINING, "this host is shutting down; use another host", RETRY_AFTER_MILLIS);
        }
        Readiness current = readiness.get();
        if (!current.ready()) {
            throw new RefusedException(
                    ErrorKind.NOT_CONFIGURED, "this host is not ready: " + current.reason(), RETRY_AFTER_MILLIS);
        }
    }
}
