package org.banyanspoke.bench;

import java.nio.file.Path;

/**
 * Options of a run.
 *
 * @param home directory that holds {@code bin}
 * @param scenario what to run
 * @param shape site
 * @param policy {@code adaptive} or {@code baseline}
 * @param seed decides arrivals and faults
 * @param seconds measured time in seconds
 * @param warmupSeconds time with load before the measured time, in seconds
 * @param scale hosts and servers relative to the site
 * @param keepOutput whether settings, output and ledger of the processes stay after a successful run
 */
public record BenchOptions(
        Path home,
        Scenario scenario,
        Shape shape,
        String policy,
        long seed,
        double seconds,
        double warmupSeconds,
        double scale,
        boolean keepOutput) {
    /** Returns the options for another seed. */
    public BenchOptions withSeed(long other) {
        return new BenchOptions(home, scenario, shape, policy, other, seconds, warmupSeconds, scale, keepOutput);
    }

    /** Returns the options for another scenario. */
    public BenchOptions withScenario(Scenario other) {
        return new BenchOptions(home, other, shape, policy, seed, seconds, warmupSeconds, scale, keepOutput);
    }
}
