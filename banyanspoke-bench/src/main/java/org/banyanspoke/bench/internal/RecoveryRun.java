package org.banyanspoke.bench.internal;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.banyanspoke.bench.capacity.CapacityOptions;
import org.banyanspoke.bench.capacity.CapacityPoint;
import org.banyanspoke.bench.capacity.CapacitySize;
import org.banyanspoke.bench.capacity.Dimension;

/** Measures the simultaneous start of all hosts of a zone from a snapshot in the log, without a peer that has the
 * configuration. An instance is used for one call. */
public final class RecoveryRun implements Callable<CapacityPoint> {
    private final int value;
    private final CapacitySize size;
    private final CapacityOptions options;

    /**
     * @param value number of hosts in the zone
     * @param size size of the configuration
     * @param options options common to all points
     */
    public RecoveryRun(int value, CapacitySize size, CapacityOptions options) {
        this.value = value;
        this.size = size;
        this.options = options;
    }

    /**
     * Starts the hosts and waits until all are ready.
     *
     * @throws IOException if a process fails to start or a host does not become ready
     */
    @Override
    public CapacityPoint call() throws IOException, InterruptedException {
        Topology topology = Topology.ofSize(1, size.hosts(), size.servers(), 1);
        CapacityConfiguration configuration = new CapacityConfiguration(size, topology);
        Path directory = Files.createTempDirectory("banyanspoke-capacity");
        System.err.println("recovery of " + value + " hosts, process output in " + directory);
        Map<String, Double> figures;
        try (Cluster cluster =
                new Cluster(CapacityRun.clusterOptions(options, directory), topology, configuration.initialTicket())) {
            cluster.startPlatform();
            cluster.appendToLog(Map.of("ticket", configuration.initialTicket()));
            cluster.appendToLog(configuration.snapshotRecord(1));
            cluster.postControl(topology.logControlPort(), "/options", Map.of("keepRecords", 1));
            figures = measure(cluster);
        }
        MoreFiles.deleteRecursively(directory, RecursiveDeleteOption.ALLOW_INSECURE);
        double loadAverage = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        return new CapacityPoint(Dimension.RECOVERY, value, size, loadAverage, figures);
    }

    private Map<String, Double> measure(Cluster cluster) throws IOException, InterruptedException {
        Map<String, Double> figures = new TreeMap<>();
        long startNanos = System.nanoTime();
        cluster.launchHosts();
        for (int host = 0; host < size.hosts(); host++) {
            cluster.awaitReady(host);
        }
        figures.put("allReadyMillis", (System.nanoTime() - startNanos) / 1e6);
        figures.put("logReads", cluster.logCounts().path("reads").asDouble());
        figures.put("logReadBytes", cluster.logCounts().path("readBytes").asDouble());
        double residentMegabytes = 0;
        for (int host = 0; host < size.hosts(); host++) {
            residentMegabytes += ProcessMemory.residentMegabytes(cluster.pid(host)) / size.hosts();
        }
        figures.put("residentMegabytes", residentMegabytes);
        return figures;
    }
}
