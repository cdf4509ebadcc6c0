package org.banyanspoke.bench;

import java.util.List;

/**
 * A measurement as data.
 *
 * @param name name on the command line
 * @param seconds measured time by default, in seconds
 * @param hosts entry hosts; 0 for those of the shape
 * @param speedRatio speed of the fastest over the slowest backend server
 * @param declaredErrorFactor declared run times are off by up to this factor
 * @param stragglerFraction share of tasks that last 10 times as long as declared
 * @param unequalHosts whether later entry hosts get a smaller share of the load (weights 4, 2, 1, ...)
 * @param instant whether backend servers answer at once
 * @param reservedIds whether callers reserve job ids first, which lets them resubmit and cancel
 * @param loads the work
 * @param faults what happens during the run
 */
public record Scenario(
        String name,
        int seconds,
        int hosts,
        double speedRatio,
        double declaredErrorFactor,
        double stragglerFraction,
        boolean unequalHosts,
        boolean instant,
        boolean reservedIds,
        List<Load> loads,
        List<FaultAction> faults) {
    /** Copies the lists. */
    public Scenario {
        loads = List.copyOf(loads);
        faults = List.copyOf(faults);
    }

    /** Returns whether the scenario has a flood, and so a comparison run without it. */
    public boolean hasFlood() {
        return loads.stream().anyMatch(Load::flood);
    }

    /** Returns the scenario without its floods. */
    public Scenario withoutFlood() {
        List<Load> others = loads.stream().filter(load -> !load.flood()).toList();
        return new Scenario(
                name,
                seconds,
                hosts,
                speedRatio,
                declaredErrorFactor,
                stragglerFraction,
                unequalHosts,
                instant,
                reservedIds,
                others,
                faults);
    }
}
