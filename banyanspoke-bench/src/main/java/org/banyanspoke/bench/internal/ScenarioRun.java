package org.banyanspoke.bench.internal;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.bench.BenchOptions;
import org.banyanspoke.bench.Scenario;

/** Runs a scenario against new processes. An instance is used for one call. */
public final class ScenarioRun {
    private static final int EVENT_LOOPS = 2;
    /** The throughput target applies to entry hosts with 2 processors. */
    private static final String HOST_JAVA_OPTIONS = "-Xmx256m -XX:ActiveProcessorCount=2";

    private final BenchOptions options;
    private final Scenario scenario;

    /** Creates a run without starting any process. */
    public ScenarioRun(BenchOptions options) {
        this.options = options;
        scenario = options.scenario();
    }

    /**
     * Starts the processes, generates the load and stops the processes. Their output is kept in a temporary directory
     * if the run fails or the options request it.
     *
     * @throws IOException if a process fails to start or its counts cannot be read
     */
    public Measurement call() throws IOException, InterruptedException {
        Topology topology = Topology.of(scenario, options.shape(), options.scale());
        Path directory = Files.createTempDirectory("banyanspoke-bench");
        System.err.println(scenario.name() + " seed " + options.seed() + ", process output in " + directory);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        ClusterOptions clusterOptions = new ClusterOptions(
                options.home(), directory, options.policy(), options.seed(), scenario.instant(), HOST_JAVA_OPTIONS);
        try (Cluster cluster = new Cluster(clusterOptions, topology, ClusterConfiguration.ticket(scenario, topology))) {
            cluster.start();
            if (options.networkDelay()) {
                cluster.postControl(
                        topology.backendControlPort(),
                        "/zones",
                        topology.zoneDelay(options.shape().zoneDelayMicros()));
            }
            Measurement measurement = measure(cluster, topology, vertx);
            if (!options.keepOutput()) {
                MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
            }
            return measurement;
        } finally {
            vertx.close().onFailure(e -> System.err.println("failed to close Vert.x: " + e));
        }
    }

    private Measurement measure(Cluster cluster, Topology topology, Vertx vertx)
            throws IOException, InterruptedException {
        try (LoadBalancer balancer = new LoadBalancer(vertx, callersPorts(topology), weights(topology))) {
            return measure(cluster, topology, vertx, balancer);
        }
    }

    private Measurement measure(Cluster cluster, Topology topology, Vertx vertx, LoadBalancer balancer)
            throws IOException, InterruptedException {
        LoadGenerator load = new LoadGenerator(
                vertx, balancer, ClusterConfiguration.tokens(scenario), scenario.reservedIds(), clientDelayMicros());
        awaitReady(balancer, topology.hosts());
        load.reserveInitialIds();
        LoadPlanner planner = new LoadPlanner(scenario, options.seed(), options.warmupSeconds(), options.seconds());
        List<PlannedJob> jobs = planner.plan(scenario.instant() ? 1 : topology.capacityPerSecond());
        Measurement.Counts before = cluster.counts();
        try (FaultInjector faults = new FaultInjector(cluster, topology, load)) {
            faults.schedule(scenario.faults(), options.warmupSeconds(), options.seconds());
            long startNanos = System.nanoTime();
            List<JobOutcome> outcomes = load.run(jobs, startNanos);
            faults.finish();
            Measurement.Counts after = cluster.counts();
            TaskStartLog starts = TaskStartLog.read(cluster.ledgerFile());
            return new Measurement(
                    topology, jobs, outcomes, startNanos, before, after, starts, faults.exitCodes(), faults.errors());
        }
    }

    private long clientDelayMicros() {
        return options.networkDelay() ? options.shape().clientDelayMicros() : 0;
    }

    static void awaitReady(LoadBalancer balancer, int hosts) throws InterruptedException {
        while (balancer.readyHosts() < hosts) {
            Thread.sleep(20);
        }
    }

    static List<Integer> callersPorts(Topology topology) {
        List<Integer> ports = new ArrayList<>();
        for (int host = 0; host < topology.hosts(); host++) {
            ports.add(topology.callersPort(host));
        }
        return ports;
    }

    /** Returns the load weights. With unequal hosts, each host gets half the load of the previous one. */
    private List<Integer> weights(Topology topology) {
        List<Integer> weights = new ArrayList<>();
        for (int host = 0; host < topology.hosts(); host++) {
            weights.add(scenario.unequalHosts() ? 1 << (topology.hosts() - 1 - host) : 1);
        }
        return weights;
    }
}
