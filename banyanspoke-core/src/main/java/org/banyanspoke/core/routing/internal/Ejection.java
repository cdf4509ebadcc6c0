package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.routing.OutlierDetector;

/**
 * Whether a server is in use, set aside, or on probation. A server that was set aside returns with one idempotent task at
 * a time until three have succeeded; a failure on probation sets it aside again for twice as long.
 */
final class Ejection {
    private static final long FIRST_NANOS = 5_000_000_000L;
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final int PROBATION_SUCCESSES = 3;

    private final OutlierDetector detector;
    private final ResultHistory history = new ResultHistory();
    private long untilNanos;
    private long nextDurationNanos = FIRST_NANOS;
    private int successesNeeded;

    Ejection(OutlierDetector detector) {
        this.detector = detector;
    }

    boolean isEjected(long nowNanos) {
        return successesNeeded > 0 && nowNanos - untilNanos < 0;
    }

    /** Returns whether the server may receive a task. */
    boolean admits(long nowNanos, boolean idempotent, int inFlight) {
        if (successesNeeded == 0) {
            return true;
        }
        return idempotent && inFlight == 0 && nowNanos - untilNanos >= 0;
    }

    void onSuccess(long nowNanos) {
        history.addSuccess();
        if (successesNeeded == 0 || isEjected(nowNanos)) {
            return;
        }
        successesNeeded--;
        if (successesNeeded == 0) {
            nextDurationNanos = FIRST_NANOS;
            history.clear();
        }
    }

    void onFailure(long nowNanos, int weight) {
        // Tasks that were in flight when the server was set aside do not lengthen the time.
        if (isEjected(nowNanos)) {
            return;
        }
        history.addFailure(weight);
        if (successesNeeded > 0 || detector.isOutlier(history.results())) {
            eject(nowNanos);
        }
    }

    private void eject(long nowNanos) {
        untilNanos = nowNanos + nextDurationNanos;
        nextDurationNanos = Math.min(MAX_NANOS, 2 * nextDurationNanos);
        successesNeeded = PROBATION_SUCCESSES;
        history.clear();
    }
}
