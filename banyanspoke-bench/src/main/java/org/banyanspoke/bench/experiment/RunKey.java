package org.banyanspoke.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.Shape;

/**
 * Everything that decides a run. Two runs with the same key are the same measurement.
 *
 * @param scenario scenario name
 * @param shape site
 * @param policy policy of the daemons
 * @param seed decides arrivals and faults
 * @param seconds measured time in seconds
 * @param warmupSeconds time with load before the measured time, in seconds
 * @param scale hosts and servers relative to the site
 */
public record RunKey(
        String scenario, Shape shape, String policy, long seed, double seconds, double warmupSeconds, double scale) {
    /** Returns the key of a run. */
    public static RunKey of(BenchOptions options) {
        return new RunKey(
                options.scenario().name(),
                options.shape(),
                options.policy(),
                options.seed(),
                options.seconds(),
                options.warmupSeconds(),
                options.scale());
    }

    /**
     * Returns the runs of an experiment. The policies of one scenario and seed follow each other, so that they meet the
     * same state of the machine.
     *
     * @param first options of a run for each scenario; their policy and seed are replaced
     */
    public static List<BenchOptions> plan(List<BenchOptions> first, List<Long> seeds, List<String> policies) {
        List<BenchOptions> plan = new ArrayList<>();
        for (BenchOptions scenario : first) {
            for (long seed : seeds) {
                for (String policy : policies) {
                    plan.add(scenario.withSeed(seed).withPolicy(policy));
                }
            }
        }
        return plan;
    }
}
