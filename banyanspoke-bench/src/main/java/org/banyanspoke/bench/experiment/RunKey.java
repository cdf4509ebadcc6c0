package org.banyanspoke.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.Shape;

/**
 * Parameters that identify a run. Runs with equal keys are repetitions of the same measurement.
 *
 * @param scenario scenario name
 * @param shape modelled site
 * @param policy policy of the daemons
 * @param seed random seed of arrivals and faults
 * @param seconds measurement time in seconds
 * @param warmupSeconds warm-up time under load before the measurement, in seconds
 * @param scale number of hosts and servers as a fraction of the site
 * @param networkDelay whether the network delays of the site are simulated
 */
public record RunKey(
        String scenario,
        Shape shape,
        String policy,
        long seed,
        double seconds,
        double warmupSeconds,
        double scale,
        boolean networkDelay) {
    /** Returns the key of a run with the given options. */
    public static RunKey of(BenchOptions options) {
        return new RunKey(
                options.scenario().name(),
                options.shape(),
                options.policy(),
                options.seed(),
                options.seconds(),
                options.warmupSeconds(),
                options.scale(),
                options.networkDelay());
    }

    /**
     * Returns the runs of an experiment. The policies of one scenario and seed run consecutively, so that they
     * are compared under similar machine conditions.
     *
     * @param baseOptions options for each scenario; their policy and seed are replaced
     */
    public static List<BenchOptions> plan(List<BenchOptions> baseOptions, List<Long> seeds, List<String> policies) {
        List<BenchOptions> plan = new ArrayList<>();
        for (BenchOptions scenario : baseOptions) {
            for (long seed : seeds) {
                for (String policy : policies) {
                    plan.add(scenario.withSeed(seed).withPolicy(policy));
                }
            }
        }
        return plan;
    }
}
