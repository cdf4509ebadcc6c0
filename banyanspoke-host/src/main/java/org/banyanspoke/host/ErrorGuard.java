package org.banyanspoke.host;

import java.util.HashMap;
import java.util.Map;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/**
 * Runs the steps of a loop so that an unexpected exception ends only the step in which it occurs. Logs the errors of a
 * step at a limited rate. Not thread safe.
 */
final class ErrorGuard {
    /** A step may fail in every iteration of a loop that runs 50 times a second. */
    private static final long LOG_PERIOD_MILLIS = 10_000;

    private static final EventLog LOG = EventLog.of(ErrorGuard.class);

    private final MonotonicClock clock;
    private final Map<String, StepErrors> errorsByStep = new HashMap<>();

    /** Errors of a step. */
    private static final class StepErrors {
        private long nextLogMillis = Long.MIN_VALUE;
        private long notLogged;
    }

    ErrorGuard(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Runs a step. Catches unchecked exceptions.
     *
     * @param step constant name of the step
     * @return whether the step ended without an exception
     */
    boolean run(String step, Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException e) {
            recordError(step, e);
            return false;
        }
    }

    /** Logs an unexpected error of a step, unless another one has been logged recently. */
    void recordError(String step, Throwable error) {
        StepErrors errors = errorsByStep.computeIfAbsent(step, key -> new StepErrors());
        long nowMillis = clock.millis();
        if (nowMillis < errors.nextLogMillis) {
            errors.notLogged++;
            return;
        }
        LOG.event(Logger.Level.ERROR, "unexpected error, the step is skipped")
                .with("step", step)
                .with("notLogged", errors.notLogged)
                .cause(error)
                .write();
        errors.nextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
        errors.notLogged = 0;
    }
}
