package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.routing.OutlierDetector;

/**
 * Classifies a server as an outlier after three consecutive failures, or if more than half of its last 20 results are
 * failures.
 */
public final class FailureOutlierDetector implements OutlierDetector {
    /** Number of results in the history. */
    static final int HISTORY_SIZE = 20;

    private static final int CONSECUTIVE_FAILURE_LIMIT = 3;

    @Override
    public boolean isOutlier(RecentResults results) {
        if (results.consecutiveFailures() >= CONSECUTIVE_FAILURE_LIMIT) {
            return true;
        }
        return results.recentResults() >= HISTORY_SIZE && results.recentFailures() * 2 > results.recentResults();
    }
}
