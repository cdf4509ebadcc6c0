package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.routing.OutlierDetector;

/** Three consecutive failures, or more than half of the last 20 results. */
public final class FailureOutlierDetector implements OutlierDetector {
    /** Results that the history covers. */
    static final int HISTORY = 20;

    private static final int CONSECUTIVE = 3;

    @Override
    public boolean isOutlier(RecentResults results) {
        if (results.consecutiveFailures() >= CONSECUTIVE) {
            return true;
        }
        return results.recentResults() >= HISTORY && results.recentFailures() * 2 > results.recentResults();
    }
}
