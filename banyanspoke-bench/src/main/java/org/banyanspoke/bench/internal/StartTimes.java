package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.util.Map;

/** Time from the start of a host's process until it is ready, by the source of its configuration. */
final class StartTimes {
    private final Cluster cluster;
    private final Topology topology;
    private final CapacitySetup setup;
    private final int lastNumber;

    /**
     * @param cluster the processes, all of them running
     * @param topology hosts and servers
     * @param setup their configuration
     * @param lastNumber number of the last accepted ticket; the log holds the tickets and nothing else
     */
    StartTimes(Cluster cluster, Topology topology, CapacitySetup setup, int lastNumber) {
        this.cluster = cluster;
        this.topology = topology;
        this.setup = setup;
        this.lastNumber = lastNumber;
    }

    /**
     * Replaces the last host once for each source and adds the times. A host that has peers takes the configuration from the
     * first that answers, so the log is refused for the start from peers, and the other hosts are killed for the starts from
     * the log.
     *
     * @throws IOException if the host does not get ready, or from another source
     */
    void addTo(Map<String, Double> figures) throws IOException, InterruptedException {
        cluster.change(topology.logControlPort(), "/options", Map.of("outage", "refuse"));
        figures.put("startFromPeersMillis", startMillis("peer"));
        cluster.change(topology.logControlPort(), "/options", Map.of("outage", "none"));
        for (int other = 0; other < topology.hosts() - 1; other++) {
            cluster.killHost(other);
        }
        figures.put("startFromLogMillis", startMillis("log"));
        cluster.appendToLog(setup.snapshotRecord(lastNumber));
        cluster.change(topology.logControlPort(), "/options", Map.of("keepRecords", 1));
        figures.put("startFromSnapshotMillis", startMillis("log"));
    }

    private double startMillis(String source) throws IOException, InterruptedException {
        int host = topology.hosts() - 1;
        long startNanos = System.nanoTime();
        cluster.replaceHost(host);
        cluster.awaitReady(host);
        double millis = (System.nanoTime() - startNanos) / 1e6;
        String actual = cluster.status(host).path("configSource").asText();
        if (!actual.equals(source)) {
            throw new IOException("the host took its configuration from " + actual + " instead of " + source);
        }
        return millis;
    }
}
