package org.banyanspoke.core.routing;

/** Decides whether a server's recent answers set it aside. */
@FunctionalInterface
public interface OutlierDetector {
    /** Returns whether the server is to be set aside. */
    boolean isOutlier(RecentResults results);

    /**
     * Recent results of one server.
     *
     * @param consecutiveFailures weight of the failures since the last success
     * @param recentFailures weight of the failures among the recent results
     * @param recentResults weight of the recent results
     */
    record RecentResults(int consecutiveFailures, int recentFailures, int recentResults) {}
}
