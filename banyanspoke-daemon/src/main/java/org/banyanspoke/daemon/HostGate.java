package org.banyanspoke.daemon;

import java.util.function.Supplier;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.daemon.control.Readiness;
import org.banyanspoke.daemon.jobs.WorkGate;

/** Refuses new work while the host drains or has no confirmed configuration. Thread safe. */
final class HostGate implements WorkGate {
    private static final long RETRY_MILLIS = 1_000;

    private final Supplier<Readiness> readiness;
    private volatile boolean draining;

    /**
     * @param readiness what the control plane says
     */
    HostGate(Supplier<Readiness> readiness) {
        this.readiness = readiness;
    }

    /** Refuses all new work from now on. */
    void startDraining() {
        draining = true;
    }

    @Override
    public void check() throws RefusedException {
        if (draining) {
            throw new RefusedException(ErrorKind.DRAINING, "this host is stopping; use another one", RETRY_MILLIS);
        }
        Readiness present = readiness.get();
        if (!present.ready()) {
            throw new RefusedException(
                    ErrorKind.NOT_CONFIGURED, "this host is not ready: " + present.reason(), RETRY_MILLIS);
        }
    }
}
