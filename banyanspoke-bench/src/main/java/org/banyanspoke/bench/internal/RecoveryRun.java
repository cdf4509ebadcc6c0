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

/** Starts all hosts of a zone at once, from a snapshot in the log and no peer that has it. Set up and called once. */
public final class RecoveryRun implements Callable<CapacityPoint> {
    private final int value;
    private final CapacitySize size;
    private final CapacityOptions options;

    /**
     * @param value hosts of the zone
     * @param size size of the configuration
     * @param options options of all points
     */
    public RecoveryRun(int value, CapacitySize size, CapacityOptions options) {
        this.value = value;
        this.size = size;
        this.options = options;
    }

    /**
     * Starts the hosts and waits until all are ready.
     *
     * @throws IOException if a host does not get ready
     */
    @Override
    public CapacityPoint call() throws IOException, InterruptedException {
        Topology topology = Topology.ofSize(1, size.hosts(), size.servers(), 1);
        CapacitySetup setup = new CapacitySetup(size, topology);
        Path directory = Files.createTempDirectory("banyanspoke-capacity");
        System.err.println("recovery of " + value + " hosts, output in " + directory);
        Map<String, Double> figures;
        try (Cluster cluster = new Cluster(CapacityRun.clusterOptions(options, directory), topology, setup.ticket())) {
            cluster.startPlatform();
            cluster.appendToLog(Map.of("ticket", setup.ticket()));
            cluster.appendToLog(setup.snapshotRecord(1));
            cluster.change(topology.logControlPort(), "/options", Map.of("keepRecords", 1));
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
