package org.banyanspoke.bench;

import java.nio.file.Path;
import java.util.Map;

/**
 * Options of a bench run.
 *
 * @param home directory that holds {@code bin}
 * @param scenario scenario to run
 * @param shape site to model
 * @param policy {@code adaptive} or {@code baseline}
 * @param seed random seed of arrivals and faults
 * @param seconds measurement time in seconds
 * @param warmupSeconds warm-up time under load before the measurement, in seconds
 * @param scale number of hosts and servers as a fraction of the site
 * @param keepOutput whether to keep the settings, output and ledger of the processes after a successful run
 * @param networkDelay whether to simulate the network delays of the site between zones and between clients and hosts
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
        boolean keepOutput,
        boolean networkDelay) {
    /** Covers JIT compilation of hot paths and the initial estimation of server speeds. */
    private static final double WARMUP_SECONDS = 5;
    /** JIT compiler threads use more than half of a host's CPU time in the first 10 s. */
    private static final double THROUGHPUT_WARMUP_SECONDS = 10;

    /**
     * Returns options, with unset durations taken from the scenario.
     *
     * @param seconds measurement time in seconds; null for the default of the scenario
     * @param warmupSeconds warm-up time in seconds; null for the default of the scenario
     * @throws IllegalArgumentException if the scenario does not exist
     */
    public static BenchOptions of(
            Path home,
            String scenarioName,
            Shape shape,
            String policy,
            long seed,
            Double seconds,
            Double warmupSeconds,
            double scale,
            boolean keepOutput,
            boolean networkDelay) {
        Map<String, Scenario> scenarios = Scenarios.all(shape);
        Scenario scenario = scenarios.get(scenarioName);
        if (scenario == null) {
            throw new IllegalArgumentException("unknown scenario \"" + scenarioName + "\"; available scenarios: "
                    + String.join(", ", scenarios.keySet()));
        }
        double defaultWarmupSeconds = scenario.instant() ? THROUGHPUT_WARMUP_SECONDS : WARMUP_SECONDS;
        return new BenchOptions(
                home,
                scenario,
                shape,
                policy,
                seed,
                seconds == null ? scenario.seconds() : seconds,
                warmupSeconds == null ? defaultWarmupSeconds : warmupSeconds,
                scale,
                keepOutput,
                networkDelay);
    }

    /** Returns a copy of the options with another seed. */
    public BenchOptions withSeed(long other) {
        return new BenchOptions(
                home, scenario, shape, policy, other, seconds, warmupSeconds, scale, keepOutput, networkDelay);
    }

    /** Returns a copy of the options with another policy. */
    public BenchOptions withPolicy(String other) {
        return new BenchOptions(
                home, scenario, shape, other, seed, seconds, warmupSeconds, scale, keepOutput, networkDelay);
    }

    /** Returns a copy of the options with another scenario. */
    public BenchOptions withScenario(Scenario other) {
        return new BenchOptions(
                home, other, shape, policy, seed, seconds, warmupSeconds, scale, keepOutput, networkDelay);
    }
}
