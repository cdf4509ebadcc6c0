package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.dispatch.LoadReport;
import org.banyanspoke.core.routing.ConcurrencyWindow;

/**
 * Grows the window by a share of the reported free slots and shrinks it by a share of the reported queue length.
 * Without load reports the run time controls it: the window shrinks if a response took more than twice the expected
 * time, and otherwise grows while it is fully used.
 */
public final class AdaptiveWindow implements ConcurrencyWindow {
    /** Every assigned host may have one request in flight; 8 hosts together then use the 8 slots of a server. */
    static final double MIN = 1;

    /** Number of connections from one host to one server. */
    static final double MAX = 8;

    /** Fraction of this host's share of the free slots by which one response grows the window. */
    private static final double GROWTH = 0.5;

    private static final double SLOWDOWN_LIMIT = 2;

    /** Returns the window before the first response: the slots divided among the assigned hosts. */
    static double initial(int slots, int hostCount) {
        return bounded((double) slots / Math.max(1, hostCount));
    }

    @Override
    public double adjust(Observation observation) {
        return bounded(observation.window() + change(observation));
    }

    private static double change(Observation observation) {
        LoadReport load = observation.load();
        boolean limiting = observation.inFlight() >= (int) observation.window();
        double hostCount = Math.max(1, observation.assignedHosts());
        if (load == null) {
            return changeBySlowdown(observation, limiting);
        }
        if (load.queued() > 0) {
            return -Math.max(0.25, load.queued() / hostCount);
        }
        double freeSlots = load.slots() - load.running();
        // Shrinks an unused window; otherwise several hosts could send bursts to the same server simultaneously.
        return limiting ? GROWTH * freeSlots / hostCount : -0.1 * (observation.window() - observation.inFlight());
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
