package org.banyanspoke.core.routing;

import org.banyanspoke.core.dispatch.LoadReport;

/** Adjusts the limit of requests that one entry host may have in flight at one backend server. */
@FunctionalInterface
public interface ConcurrencyWindow {
    /** Returns the window to use after a response. */
    double adjust(Observation observation);

    /**
     * State of a server when a response arrives.
     *
     * @param window current window
     * @param inFlight requests in flight before this response
     * @param slots number of tasks that the server runs concurrently
     * @param assignedHosts number of entry hosts that use the server
     * @param load load reported in the response; null if absent
     * @param slowdown ratio of measured to expected run time
     */
    record Observation(double window, int inFlight, int slots, int assignedHosts, LoadReport load, double slowdown) {}
}
