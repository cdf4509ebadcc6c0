package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.dispatch.LoadReport;
import org.banyanspoke.core.routing.ConcurrencyWindow;

/**
 * Grows by a share of the reported free slots and shrinks by a share of the reported queue. Without load reports it
 * follows the run time: it grows while answers are as fast as expected and shrinks when they take twice as long.
 */
public final class AdaptiveWindow implements ConcurrencyWindow {
    /** Every sharer may always have one request in flight; 8 sharers then use the 8 slots of a server. */
    static final double MIN = 1;

    /** Connections of one host to one server. */
    static final double MAX = 8;

    /** Part of the own share of free slots that one answer adds. */
    private static final double GROWTH = 0.5;

    private static final double SLOWDOWN_LIMIT = 2;

    /** Returns the window of a server without answers: its slots divided among its sharers. */
    static double initial(int slots, int sharers) {
        return bounded((double) slots / Math.max(1, sharers));
    }

    @Override
    public double adjust(Observation observation) {
        return bounded(observation.window() + change(observation));
    }

    private static double change(Observation observation) {
        LoadReport load = observation.load();
        boolean limiting = observation.inFlight() >= (int) observation.window();
        double sharers = Math.max(1, observation.sharers());
        if (load == null) {
            return changeBySlowdown(observation, limiting);
        }
        if (load.queued() > 0) {
            return -Math.max(0.25, load.queued() / sharers);
        }
        double freeSlots = load.slots() - load.running();
        // An unused window would let several hosts send a burst to the same server at once.
        return limiting ? GROWTH * freeSlots / sharers : -0.1 * (observation.window() - observation.inFlight());
    }

    private static double changeBySlowdown(Observation observation, boolean limiting) {
        if (observation.slowdown() > SLOWDOWN_LIMIT) {
            return -0.25;
        }
        return limiting ? 0.1 : 0;
    }

    private static double bounded(double window) {
        return Math.max(MIN, Math.min(MAX, window));
    }
}
