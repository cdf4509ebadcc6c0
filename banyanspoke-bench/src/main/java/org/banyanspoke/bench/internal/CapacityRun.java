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
import java.util.stream.IntStream;
import org.banyanspoke.bench.Scenario;
import org.banyanspoke.bench.capacity.CapacityOptions;
import org.banyanspoke.bench.capacity.CapacityPoint;
import org.banyanspoke.bench.capacity.CapacitySize;
import org.banyanspoke.bench.capacity.Dimension;
import org.banyanspoke.bench.internal.JobOutcome.State;

/** Measures entry hosts under steady load at one size. Set up and called once. */
public final class CapacityRun implements Callable<CapacityPoint> {
    /** Design size: 2 regions with 6 zones. */
    private static final int ZONES = 6;

    /** Servers that an entry host of today's sites reaches (33); the load goes to these. */
    private static final int LISTENING_SERVERS = 33;

    private static final int EVENT_LOOPS = 2;

    private final Dimension over;
    private final int value;
    private final CapacitySize size;
    private final CapacityOptions options;
    private final Map<String, Double> figures = new TreeMap<>();

    /**
     * @param over what varies
     * @param value its value
     * @param size size of the measurement
     * @param options options of all points
     */
    public CapacityRun(Dimension over, int value, CapacitySize size, CapacityOptions options) {
        this.over = over;
        this.value = value;
        this.size = size;
        this.options = options;
    }

    /** Entry hosts see 2 processors as in the scenarios of the bench; backend servers answer at once. */
    static ClusterOptions clusterOptions(CapacityOptions options, Path directory) {
        String javaOptions = "-Xmx" + options.hostHeapMegabytes() + "m -XX:ActiveProcessorCount=2";
        return new ClusterOptions(options.home(), directory, "adaptive", options.seed(), true, javaOptions);
    }

    /**
     * Starts the processes, drives the load, measures and ends the processes. Their output stays in a temporary directory if
     * the run fails.
     *
     * @throws IOException if a process does not start or respond
     */
    @Override
    public CapacityPoint call() throws IOException, InterruptedException {
        Topology topology = Topology.ofSize(ZONES, size.hosts(), size.servers(), LISTENING_SERVERS);
        CapacitySetup setup = new CapacitySetup(size, topology);
        Path directory = Files.createTempDirectory("banyanspoke-capacity");
        System.err.println(over + " " + value + ", output in " + directory);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        try (Cluster cluster = new Cluster(clusterOptions(options, directory), topology, setup.ticket())) {
            cluster.start();
            int lastNumber = measureLoad(cluster, topology, setup, vertx);
            measureMemory(cluster);
            new StartTimes(cluster, topology, setup, lastNumber).addTo(figures);
        } finally {
            vertx.close().onFailure(e -> System.err.println("close failed: " + e));
        }
        MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
        double loadAverage = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        return new CapacityPoint(over, value, size, loadAverage, figures);
    }

    /** Returns the number of the last ticket. */
    private int measureLoad(Cluster cluster, Topology topology, CapacitySetup setup, Vertx vertx)
            throws IOException, InterruptedException {
        Scenario scenario = setup.scenario();
        List<Integer> weights = Collections.nCopies(size.hosts(), 1);
        try (LoadBalancer balancer = new LoadBalancer(vertx, ScenarioRun.callersPorts(topology), weights)) {
            ScenarioRun.awaitReady(balancer, size.hosts());
            LoadGenerator load = new LoadGenerator(vertx, balancer, Setup.tokens(scenario), false);
            load.run(plan(scenario, options.seed(), options.warmupSeconds()), System.nanoTime());
            Measurement.Counts before = cluster.counts();
            int lastNumber;
            List<JobOutcome> outcomes;
            try (TicketSequence tickets = new TicketSequence(cluster, setup, options.seconds())) {
                outcomes = load.run(plan(scenario, options.seed() + 1, options.seconds()), System.nanoTime());
                lastNumber = tickets.lastNumber();
            }
            Measurement.Counts after = cluster.counts();
            addLoadFigures(before, after, outcomes);
            addInForce(cluster, lastNumber);
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
        ControlFigures control = ControlFigures.of(before, after);
        figures.put("controlCpuPercent", control.cpuPercent());
        figures.put("controlBytesPerSecond", control.bytesPerSecond());
        figures.put("controlHeapMegabytes", control.heapMegabytes());
    }

    private void addInForce(Cluster cluster, int lastNumber) throws IOException {
        List<Path> outputs =
                IntStream.range(0, size.hosts()).mapToObj(cluster::output).toList();
        InForceTimes.read(outputs)
                .slowestMillis(TicketSequence.FIRST_NUMBER, lastNumber)
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
