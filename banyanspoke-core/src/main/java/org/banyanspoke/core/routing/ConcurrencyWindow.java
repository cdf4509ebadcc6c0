package org.banyanspoke.core.routing;

import org.banyanspoke.core.dispatch.LoadReport;

/** Adjusts the number of requests that one host may have in flight at one server. */
@FunctionalInterface
public interface ConcurrencyWindow {
    /** Returns the window after an answer. */
    double adjust(Observation observation);

    /**
     * What is known when an answer arrives.
     *
     * @param window present window
     * @param inFlight requests in flight before this answer
     * @param slots tasks that the server executes at once
     * @param sharers entry hosts that share the server
     * @param load load that the answer reported; null if there was none
     * @param slowdown run time relative to the one expected of the server
     */
    record Observation(double window, int inFlight, int slots, int sharers, LoadReport load, double slowdown) {}
}
