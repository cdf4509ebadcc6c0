package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.routing.OutlierDetector;

/** Last results of one server, stored as one bit per result. */
final class ResultHistory {
    private static final int MASK = (1 << FailureOutlierDetector.HISTORY_SIZE) - 1;

    private int failureBits;
    private int count;
    private int consecutiveFailures;

    void addSuccess() {
        consecutiveFailures = 0;
        shift(0);
    }

    /**
     * Adds a failure, which may count more than once.
     *
     * @param weight number of results that the failure counts as
     */
    void addFailure(int weight) {
        consecutiveFailures += weight;
        for (int i = 0; i < weight; i++) {
            shift(1);
        }
    }

    private void shift(int bit) {
        failureBits = ((failureBits << 1) | bit) & MASK;
        count = Math.min(FailureOutlierDetector.HISTORY_SIZE, count + 1);
    }

    void clear() {
        failureBits = 0;
        count = 0;
        consecutiveFailures = 0;
    }

    OutlierDetector.RecentResults results() {
        return new OutlierDetector.RecentResults(consecutiveFailures, Integer.bitCount(failureBits), count);
    }
}
