package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.routing.OutlierDetector;

/**
 * Ejection state of a server: in use, ejected or on probation. After an ejection the server receives one idempotent
 * task at a time until three have succeeded. A failure on probation ejects it again for twice as long.
 */
final class Ejection {
    private static final long INITIAL_EJECTION_NANOS = 5_000_000_000L;
    private static final long MAX_EJECTION_NANOS = 60_000_000_000L;
    private static final int PROBATION_SUCCESSES = 3;

    private final OutlierDetector detector;
    private final ResultHistory history = new ResultHistory();
    private long ejectedUntilNanos;
    private long nextEjectionNanos = INITIAL_EJECTION_NANOS;
    private int remainingProbationSuccesses;

    Ejection(OutlierDetector detector) {
        this.detector = detector;
    }

    boolean isEjected(long nowNanos) {
        return remainingProbationSuccesses > 0 && nowNanos - ejectedUntilNanos < 0;
    }

    /** Returns whether the ejection state allows sending a task to the server. */
    boolean admits(long nowNanos, boolean idempotent, int inFlight) {
        if (remainingProbationSuccesses == 0) {
            return true;
        }
        return idempotent && inFlight == 0 && nowNanos - ejectedUntilNanos >= 0;
    }

    void onSuccess(long nowNanos) {
        history.addSuccess();
        if (remainingProbationSuccesses == 0 || isEjected(nowNanos)) {
            return;
        }
        remainingProbationSuccesses--;
        if (remainingProbationSuccesses == 0) {
            nextEjectionNanos = INITIAL_EJECTION_NANOS;
            history.clear();
        }
    }

    void onFailure(long nowNanos, int weight) {
        // Failures of tasks that were in flight at the time of the ejection don't extend it.
        if (isEjected(nowNanos)) {
            return;
        }
        history.addFailure(weight);
        if (remainingProbationSuccesses > 0 || detector.isOutlier(history.results())) {
            eject(nowNanos);
        }
    }

    private void eject(long nowNanos) {
        ejectedUntilNanos = nowNanos + nextEjectionNanos;
        nextEjectionNanos = Math.min(MAX_EJECTION_NANOS, 2 * nextEjectionNanos);
        remainingProbationSuccesses = PROBATION_SUCCESSES;
        history.clear();
    }
}
