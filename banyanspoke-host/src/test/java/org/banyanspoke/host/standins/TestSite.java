package org.banyanspoke.host.standins;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A store, leased servers and entry hosts as separate processes, in any number of zones. */
public final class TestSite {
    /** Java processes start slowly when many start at once. */
    private static final long START_MILLIS = 60_000;
    /** Longer than a host waits before it claims the servers (0.3 s), plus a handover. */
    private static final long STABLE_MILLIS = 1_500;

    private static final long LEASE_MILLIS = 1_000;

    private final Vertx vertx = Vertx.vertx();
    private final RunLedger ledger = new RunLedger(true);
    private final StoreStandin store = new StoreStandin(vertx);
    private final List<HostUnderTest> hosts = new ArrayList<>();
    private final Path folder;
    private final int capacityMillicores;
    private final int taskMillicores;
    private int servers;

    /**
     * @param folder directory of the hosts' settings and output
     * @param capacityMillicores processor capacity of each server
     * @param taskMillicores processor demand of each task
     */
    public TestSite(Path folder, int capacityMillicores, int taskMillicores) {
        this.folder = folder;
        this.capacityMillicores = capacityMillicores;
        this.taskMillicores = taskMillicores;
    }

    /** Starts the store with a configuration. */
    public void start() throws Exception {
        Eventually.await(store.start());
        store.putConfiguration(1, 1.6);
    }

    /** Starts and registers servers. */
    public void addServers(String zone, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            LeasedServer server = new LeasedServer(vertx, ledger, capacityMillicores, taskMillicores, LEASE_MILLIS);
            Eventually.await(server.start());
            store.put("keyed.servers", "i-" + servers++, server.entry(zone));
        }
    }

    /** Starts a host. */
    public HostUnderTest startHost(String name, String zone, double processors) throws IOException {
        HostUnderTest host = new HostUnderTest(name, folder);
        host.settings(zone, processors, store.address());
        host.start();
        hosts.add(host);
        return host;
    }

    public List<HostUnderTest> hosts() {
        return List.copyOf(hosts);
    }

    /** Waits until the hosts serve steadily. */
    public void awaitServing() throws InterruptedException {
        Eventually.stableWithin(START_MILLIS, STABLE_MILLIS, this::isServing, "the site serves");
    }

    /** Returns whether all hosts are ready and have heard each other, and all servers are claimed. */
    public boolean isServing() throws InterruptedException {
        double capacity = 0;
        for (HostUnderTest host : hosts) {
            if (host.readiness() != 200 || host.metric("peers_heard") != hosts.size() - 1) {
                return false;
            }
            capacity += host.metric("pool_capacity_millicores");
        }
        return capacity == (double) servers * capacityMillicores;
    }

    /** Returns descriptions of the guarantees that were violated, except that a completed task may run again. */
    public List<String> violations() {
        return ledger.violations();
    }

    /** Kills the hosts, stops the stand-ins and verifies that no guarantee was violated. */
    public void closeAndVerify() throws Exception {
        for (HostUnderTest host : hosts) {
            host.kill();
        }
        Eventually.await(vertx.close());
        assertThat(ledger.violations()).isEmpty();
    }
}
