package org.banyanspoke.bench.internal;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.banyanspoke.bench.Scenario;
import org.banyanspoke.bench.capacity.CapacityOptions;
import org.banyanspoke.bench.capacity.CapacityPoint;
import org.banyanspoke.bench.capacity.CapacitySize;
import org.banyanspoke.bench.capacity.Dimension;
import org.banyanspoke.bench.internal.JobOutcome.State;

/** Measures entry hosts under steady load at one size. An instance is used for one call. */
public final class CapacityRun implements Callable<CapacityPoint> {
    /** Zones of the design size, in 2 regions. */
    private static final int ZONES = 6;

    /** Number of servers that receive load, as many as an entry host reaches at the existing sites. */
    private static final int LISTENING_SERVERS = 33;

    private static final int EVENT_LOOPS = 2;

    private final Dimension dimension;
    private final int value;
    private final CapacitySize size;
    private final CapacityOptions options;
    private final Map<String, Double> figures = new TreeMap<>();

    /**
     * @param dimension varied dimension
     * @param value value of the dimension
     * @param size size of the measured system
     * @param options options common to all points
     */
    public CapacityRun(Dimension dimension, int value, CapacitySize size, CapacityOptions options) {
        this.dimension = dimension;
        this.value = value;
        this.size = size;
        this.options = options;
    }

    /** Returns options with 2 processors per entry host, as in the bench scenarios, and instant backend servers. */
    static ClusterOptions clusterOptions(CapacityOptions options, Path directory) {
        String javaOptions = "-Xmx" + options.hostHeapMegabytes() + "m -XX:ActiveProcessorCount=2";
        return new ClusterOptions(options.home(), directory, "adaptive", options.seed(), true, javaOptions);
    }

    /**
     * Starts the processes, generates the load, measures and stops the processes. Their output is kept in a temporary
     * directory if the run fails.
     *
     * @throws IOException if a process fails to start or does not respond
     */
    @Override
    public CapacityPoint call() throws IOException, InterruptedException {
        Topology topology = Topology.ofSize(ZONES, size.hosts(), size.servers(), LISTENING_SERVERS);
        CapacityConfiguration configuration = new CapacityConfiguration(size, topology);
        Path directory = Files.createTempDirectory("banyanspoke-capacity");
        System.err.println(dimension + " " + value + ", process output in " + directory);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        try (Cluster cluster =
                new Cluster(clusterOptions(options, directory), topology, configuration.initialTicket())) {
            cluster.start();
            int lastNumber = measureLoad(cluster, topology, configuration, vertx);
            measureMemory(cluster);
            new StartupTimeMeasurement(cluster, topology, configuration, lastNumber).measureInto(figures);
        } finally {
            vertx.close().onFailure(e -> System.err.println("failed to close Vert.x: " + e));
        }
        MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
        double loadAverage = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        return new CapacityPoint(dimension, value, size, loadAverage, figures);
    }

    /** Measures under load and returns the number of the last accepted ticket. */
    private int measureLoad(Cluster cluster, Topology topology, CapacityConfiguration configuration, Vertx vertx)
            throws IOException, InterruptedException {
        Scenario scenario = configuration.scenario();
        List<Integer> weights = Collections.nCopies(size.hosts(), 1);
        try (LoadBalancer balancer = new LoadBalancer(vertx, ScenarioRun.callersPorts(topology), weights)) {
            ScenarioRun.awaitReady(balancer, size.hosts());
            LoadGenerator load = new LoadGenerator(vertx, balancer, ClusterConfiguration.tokens(scenario), false, 0);
            List<PlannedJob> warmup = plan(scenario, options.seed(), options.warmupSeconds());
            load.run(warmup, System.nanoTime());
            Measurement.Counts before = cluster.counts();
            int lastNumber;
            List<JobOutcome> outcomes;
            try (PeriodicTicketSender tickets = new PeriodicTicketSender(cluster, configuration, options.seconds())) {
                List<PlannedJob> jobs = plan(scenario, options.seed() + 1, options.seconds());
                List<JobOutcome> all = load.run(jobs, System.nanoTime());
                outcomes = all.subList(warmup.size(), all.size());
                lastNumber = tickets.lastNumber();
            }
            Measurement.Counts after = cluster.counts();
            addLoadFigures(before, after, outcomes);
            addActivationTime(cluster, lastNumber);
            return lastNumber;
        }
    }

    private List<PlannedJob> plan(Scenario scenario, long seed, double seconds) {
        return new LoadPlanner(scenario, seed, 0, seconds).plan((double) size.startsPerSecond() * size.hosts());
    }

    private void addLoadFigures(Measurement.Counts before, Measurement.Counts after, List<JobOutcome> outcomes) {
        double seconds = (after.atNanos() - before.atNanos()) / 1e9;
        double starts = Math.max(1, after.ledgerCount("/starts") - before.ledgerCount("/starts"));
        double cpuMicros = after.hostCpu().minus(before.hostCpu()).toNanos() / 1e3;
        figures.put("hostCpuPercent", cpuMicros / 1e4 / seconds / size.hosts());
        figures.put("cpuMicrosPerTask", cpuMicros / starts);
        figures.put("startsPerSecondPerHost", starts / seconds / size.hosts());
        figures.put("jobsNotComplete", (double) outcomes.stream()
                .filter(outcome -> outcome.state() != State.COMPLETE)
                .count());
        Map<String, Long> failures = outcomes.stream()
                .filter(outcome -> outcome.state() != State.COMPLETE)
                .collect(Collectors.groupingBy(
                        outcome -> outcome.state() + " " + outcome.error(), Collectors.counting()));
        if (!failures.isEmpty()) {
            System.err.println(dimension + " " + value + ", incomplete jobs: " + failures);
        }
        ControlOverhead control = ControlOverhead.of(before, after);
        figures.put("controlCpuPercent", control.cpuPercent());
        figures.put("controlBytesPerSecond", control.bytesPerSecond());
        figures.put("controlHeapMegabytes", control.heapMegabytes());
    }

    private void addActivationTime(Cluster cluster, int lastNumber) throws IOException {
        List<Path> outputs =
                IntStream.range(0, size.hosts()).mapToObj(cluster::output).toList();
        ConfigActivationTimes.read(outputs)
                .maxPropagationMillis(PeriodicTicketSender.FIRST_NUMBER, lastNumber)
                .ifPresent(millis -> figures.put("ticketInForceMillis", millis));
    }

    private void measureMemory(Cluster cluster) throws IOException, InterruptedException {
        double resident = 0;
        double heap = 0;
        for (int host = 0; host < size.hosts(); host++) {
            resident += ProcessMemory.residentMegabytes(cluster.pid(host));
            heap += ProcessMemory.liveHeapMegabytes(cluster.pid(host));
        }
        figures.put("residentMegabytes", resident / size.hosts());
        figures.put("liveHeapMegabytes", heap / size.hosts());
    }
}
