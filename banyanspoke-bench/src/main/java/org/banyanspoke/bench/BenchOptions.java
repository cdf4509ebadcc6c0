package org.banyanspoke.bench;

import java.nio.file.Path;
import java.util.Map;

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
    /** Covers the compilation of the hot paths of a new JVM and the first learning of server speeds. */
    private static final double WARMUP_SECONDS = 5;
    /** In trials the compiler threads used more than half of a host's processor time in the first 10 s. */
    private static final double THROUGHPUT_WARMUP_SECONDS = 10;

    /**
     * Returns options with the defaults of the scenario.
     *
     * @param seconds measured time in seconds; null for that of the scenario
     * @param warmupSeconds time with load before it, in seconds; null for that of the scenario
     * @throws IllegalArgumentException if there is no such scenario
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
            boolean keepOutput) {
        Map<String, Scenario> scenarios = Scenarios.all(shape);
        Scenario scenario = scenarios.get(scenarioName);
        if (scenario == null) {
            throw new IllegalArgumentException(
                    "no scenario \"" + scenarioName + "\", there are " + String.join(", ", scenarios.keySet()));
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
                keepOutput);
    }

    /** Returns the options for another seed. */
    public BenchOptions withSeed(long other) {
        return new BenchOptions(home, scenario, shape, policy, other, seconds, warmupSeconds, scale, keepOutput);
    }

    /** Returns the options for another policy. */
    public BenchOptions withPolicy(String other) {
        return new BenchOptions(home, scenario, shape, other, seed, seconds, warmupSeconds, scale, keepOutput);
    }

    /** Returns the options for another scenario. */
    public BenchOptions withScenario(Scenario other) {
        return new BenchOptions(home, other, shape, policy, seed, seconds, warmupSeconds, scale, keepOutput);
    }
}
