package org.banyanspoke.bench;

import java.util.List;

/**
 * Definition of a benchmark scenario.
 *
 * @param name scenario name on the command line
 * @param seconds default measurement time in seconds
 * @param hosts number of entry hosts; 0 for that of the shape
 * @param speedRatio ratio of the speed of the fastest backend server to that of the slowest
 * @param declaredErrorFactor maximum factor by which declared run times differ from actual run times
 * @param stragglerFraction fraction of tasks that run 10 times as long as declared
 * @param unequalHosts whether each entry host gets half the load of the previous one
 * @param instant whether backend servers respond immediately
 * @param reservedIds whether clients reserve job ids, which lets them resubmit and cancel jobs
 * @param loads workloads of the client accounts
 * @param faults faults to inject during the run
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
    /** Makes defensive copies of the lists. */
    public Scenario {
        loads = List.copyOf(loads);
        faults = List.copyOf(faults);
    }

    /** Returns whether the scenario has a flood and therefore needs a reference run without it. */
    public boolean hasFlood() {
        return loads.stream().anyMatch(Load::flood);
    }

    /** Returns a copy of the scenario without its floods. */
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
