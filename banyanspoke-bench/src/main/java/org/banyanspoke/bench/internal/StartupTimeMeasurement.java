package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.util.Map;

/** Measures the time from process start to readiness of a host for each source of its configuration. */
final class StartupTimeMeasurement {
    private final Cluster cluster;
    private final Topology topology;
    private final CapacityConfiguration configuration;
    private final int lastNumber;

    /**
     * @param cluster running cluster
     * @param topology layout of hosts and servers
     * @param configuration configuration of the cluster
     * @param lastNumber number of the last accepted ticket; the log contains only the tickets
     */
    StartupTimeMeasurement(Cluster cluster, Topology topology, CapacityConfiguration configuration, int lastNumber) {
        this.cluster = cluster;
        this.topology = topology;
        this.configuration = configuration;
        this.lastNumber = lastNumber;
    }

    /**
     * Restarts the last host once per source and adds the times to the figures. A starting host takes its configuration
     * from the first source that responds, so the log refuses requests for the start from peers, and the other hosts
     * are killed for the starts from the log.
     *
     * @throws IOException if the host does not become ready or uses another source
     */
    void measureInto(Map<String, Double> figures) throws IOException, InterruptedException {
        cluster.postControl(topology.logControlPort(), "/options", Map.of("outage", "refuse"));
        figures.put("startFromPeersMillis", restartMillis("peer"));
        cluster.postControl(topology.logControlPort(), "/options", Map.of("outage", "none"));
        for (int other = 0; other < topology.hosts() - 1; other++) {
            cluster.killHost(other);
        }
        figures.put("startFromLogMillis", restartMillis("log"));
        cluster.appendToLog(configuration.snapshotRecord(lastNumber));
        cluster.postControl(topology.logControlPort(), "/options", Map.of("keepRecords", 1));
        figures.put("startFromSnapshotMillis", restartMillis("log"));
    }

    private double restartMillis(String source) throws IOException, InterruptedException {
        int host = topology.hosts() - 1;
        long startNanos = System.nanoTime();
        cluster.replaceHost(host);
        cluster.awaitReady(host);
        double millis = (System.nanoTime() - startNanos) / 1e6;
        String actual = cluster.status(host).path("configSource").asText();
        if (!actual.equals(source)) {
            throw new IOException("host loaded its configuration from " + actual + " instead of " + source);
        }
        return millis;
    }
}
