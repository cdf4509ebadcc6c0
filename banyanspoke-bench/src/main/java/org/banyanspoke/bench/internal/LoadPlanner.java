package org.banyanspoke.bench.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.bench.Load;
import org.banyanspoke.bench.Scenario;

/**
 * Generates the random arrivals and tasks of a run. Each load has its own random generator, so the other loads have the
 * same arrivals in the reference run without the flood.
 */
public final class LoadPlanner {
    /** Most tasks run for 50 ms to 1 s (design, section 1), with a log-uniform distribution. */
    private static final double SHORT_MIN_MILLIS = 50;

    private static final double SHORT_MAX_MILLIS = 1_000;
    /** Fraction of tasks that run for 2 to 4 s; the design says "a few several seconds". */
    private static final double LONG_FRACTION = 0.02;

    private static final double LONG_MIN_MILLIS = 2_000;
    private static final double LONG_MAX_MILLIS = 4_000;

    private static final double STRAGGLER_FACTOR = 10;

    private final Scenario scenario;
    private final long seed;
    private final double warmupSeconds;
    private final double seconds;

    /**
     * @param scenario scenario to plan
     * @param seed random seed
     * @param warmupSeconds warm-up time before the measurement, in seconds
     * @param seconds measurement time in seconds
     */
    public LoadPlanner(Scenario scenario, long seed, double warmupSeconds, double seconds) {
        this.scenario = scenario;
        this.seed = seed;
        this.warmupSeconds = warmupSeconds;
        this.seconds = seconds;
    }

    /** Returns the mean run time of a task in milliseconds. */
    public static double meanRunMillis() {
        double mean = (SHORT_MAX_MILLIS - SHORT_MIN_MILLIS) / Math.log(SHORT_MAX_MILLIS / SHORT_MIN_MILLIS);
        return (1 - LONG_FRACTION) * mean + LONG_FRACTION * (LONG_MIN_MILLIS + LONG_MAX_MILLIS) / 2;
    }

    /**
     * Returns the jobs in order of arrival.
     *
     * @param tasksPerSecond total capacity of all backend servers, in tasks per second
     */
    public List<PlannedJob> plan(double tasksPerSecond) {
        List<PlannedJob> jobs = new ArrayList<>();
        for (Load load : scenario.loads()) {
            addJobs(load, tasksPerSecond, jobs);
        }
        jobs.sort(Comparator.comparingLong(PlannedJob::arrivalNanos));
        List<PlannedJob> numbered = new ArrayList<>(jobs.size());
        for (PlannedJob job : jobs) {
            numbered.add(new PlannedJob(
                    numbered.size(), job.load(), job.arrivalNanos(), job.runMillis(), job.declaredMillis()));
        }
        return numbered;
    }

    private void addJobs(Load load, double tasksPerSecond, List<PlannedJob> jobs) {
        long loadSeed = seed * 1_000_003 + load.name().hashCode();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(loadSeed);
        double meanTasks = (load.minTasks() + load.maxTasks()) / 2.0;
        double meanInterarrivalSeconds = meanTasks / (load.capacityFraction() * tasksPerSecond);
        var interarrivals = ZigguratSampler.Exponential.of(random, meanInterarrivalSeconds);
        double start = Math.max(0, warmupSeconds + load.from() * seconds);
        double end = warmupSeconds + load.until() * seconds;
        for (double at = start + interarrivals.sample(); at < end; at += interarrivals.sample()) {
            jobs.add(draw(load, (long) (at * 1e9), random));
        }
    }

    private PlannedJob draw(Load load, long arrivalNanos, UniformRandomProvider random) {
        int tasks = load.minTasks() + random.nextInt(load.maxTasks() - load.minTasks() + 1);
        double[] run = new double[tasks];
        long[] declared = new long[tasks];
        for (int i = 0; i < tasks; i++) {
            run[i] = drawRunMillis(random);
            double error = logUniform(random, 1 / scenario.declaredErrorFactor(), scenario.declaredErrorFactor());
            declared[i] = Math.max(1, Math.round(run[i] * error));
            if (random.nextDouble() < scenario.stragglerFraction()) {
                run[i] *= STRAGGLER_FACTOR;
            }
        }
        return new PlannedJob(-1, load, arrivalNanos, run, declared);
    }

    private double drawRunMillis(UniformRandomProvider random) {
        if (scenario.instant()) {
            return 1;
        }
        if (random.nextDouble() < LONG_FRACTION) {
            return LONG_MIN_MILLIS + random.nextDouble() * (LONG_MAX_MILLIS - LONG_MIN_MILLIS);
        }
        return logUniform(random, SHORT_MIN_MILLIS, SHORT_MAX_MILLIS);
    }

    private static double logUniform(UniformRandomProvider random, double min, double max) {
        return min * Math.pow(max / min, random.nextDouble());
    }
}
