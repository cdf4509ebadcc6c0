package org.banyanspoke.core.routing;

/** Decides from its recent results whether a server is ejected. */
@FunctionalInterface
public interface OutlierDetector {
    /** Returns whether the server must be ejected. */
    boolean isOutlier(RecentResults results);

    /**
     * Recent results of one server. A failure may count more than once.
     *
     * @param consecutiveFailures total weight of the failures since the last success
     * @param recentFailures total weight of the failures among the recent results
     * @param recentResults total weight of the recent results
     */
    record RecentResults(int consecutiveFailures, int recentFailures, int recentResults) {}
}
