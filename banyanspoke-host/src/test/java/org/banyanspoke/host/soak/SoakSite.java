package org.banyanspoke.host.soak;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.host.standins.Eventually;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.LeasedServer;
import org.banyanspoke.host.standins.RunLedger;
import org.banyanspoke.host.standins.StoreStandin;

/** Entry hosts as processes in two zones, with stand-ins for the store and the servers, and a proxy on each of their links. */
final class SoakSite {
    static final int TASK_MILLICORES = 4_000;
    private static final int CAPACITY_MILLICORES = 16_000;
    private static final long LEASE_MILLIS = 1_000;
    private static final List<String> ZONES = List.of("a", "b");
    private static final double[] PROCESSORS = {2.0, 0.5, 1.0};

    private final Vertx vertx;
    private final RunLedger ledger;
    private final Path folder;
    private final StoreStandin store;
    private final List<Server> servers = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private int configurationVersion;

    /** An entry host with the links that lead to it and from it to the store. */
    record Host(HostUnderTest process, String zone, double processors, Link callers, Link store) {}

    private record Server(String id, String zone, LeasedServer standin, Link link) {}

    SoakSite(Vertx vertx, RunLedger ledger, Path folder) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.folder = folder;
        this.store = new StoreStandin(vertx);
    }

    void start(int hostCount, int serverCount) throws Exception {
        Eventually.done(store.start());
        changeConfiguration();
        for (int i = 0; i < serverCount; i++) {
            addServer(i);
        }
        for (int i = 0; i < hostCount; i++) {
            addHost(i);
        }
    }

    private void addServer(int index) throws Exception {
        LeasedServer standin = new LeasedServer(vertx, ledger, CAPACITY_MILLICORES, TASK_MILLICORES, LEASE_MILLIS);
        Eventually.done(standin.start());
        Link link = new Link(vertx, standin.port());
        Eventually.done(link.start());
        Server server = new Server("i-" + index, ZONES.get(index % ZONES.size()), standin, link);
        servers.add(server);
        register(server);
    }

    private void addHost(int index) throws Exception {
        HostUnderTest process = new HostUnderTest("host-" + index, folder);
        Link callers = new Link(vertx, process.callerPort());
        Link toStore = new Link(vertx, store.port());
        Eventually.done(callers.start());
        Eventually.done(toStore.start());
        double processors = PROCESSORS[index / ZONES.size() % PROCESSORS.length];
        Host host = new Host(process, ZONES.get(index % ZONES.size()), processors, callers, toStore);
        hosts.add(host);
        writeSettings(host, processors);
        process.start();
    }

    private static void writeSettings(Host host, double processors) throws IOException {
        host.process()
                .settings(host.zone(), processors, "127.0.0.1:" + host.store().port());
    }

    private void register(Server server) {
        store.put(
                "keyed.servers",
                server.id(),
                server.standin().entry(server.zone(), server.link().port()));
    }

    private void changeConfiguration() {
        configurationVersion++;
        store.putConfiguration(configurationVersion, 1.5 + configurationVersion % 3 * 0.1);
    }

    List<Host> hosts() {
        return hosts;
    }

    /** Returns whether every server is owned by exactly one host that says so, and every host answers. */
    boolean isWhole() throws InterruptedException {
        double capacityMillicores = 0;
        for (Host host : hosts) {
            if (host.process().readiness() != 200) {
                return false;
            }
            capacityMillicores += Math.max(0, host.process().metric("pool_capacity_millicores"));
        }
        return capacityMillicores == (double) servers.size() * CAPACITY_MILLICORES;
    }

    /** Begins a fault. */
    void begin(FaultPlan.Fault fault) throws Exception {
        switch (fault.kind().target()) {
            case HOST -> beginOnHost(fault.kind(), hosts.get(fault.index()));
            case SERVER -> beginOnServer(fault.kind(), servers.get(fault.index()));
            case SITE -> beginOnSite(fault.kind());
        }
    }

    private static void beginOnHost(FaultKind kind, Host host) throws Exception {
        switch (kind) {
            case HOST_KILLED -> host.process().kill();
            case HOST_PAUSED -> host.process().signal("STOP");
            case HOST_STOPPED -> host.process().signal("TERM");
            case HOST_RELOADED -> {
                writeSettings(host, host.processors() * 2);
                host.process().signal("HUP");
            }
            case CALLERS_RESET -> host.callers().reset();
            case CALLERS_DELAYED -> host.callers().set(Link.Mode.DELAYED);
            case CALLERS_SILENT -> host.callers().set(Link.Mode.REQUESTS_SILENT);
            case STORE_CUT -> host.store().set(Link.Mode.REFUSED);
            case STORE_SILENT -> host.store().set(Link.Mode.ANSWERS_SILENT);
            case STORE_DELAYED -> host.store().set(Link.Mode.DELAYED);
            default -> throw new IllegalArgumentException(kind + " does not concern a host");
        }
    }

    private void beginOnServer(FaultKind kind, Server server) {
        switch (kind) {
            case SERVER_RESET -> server.link().reset();
            case SERVER_CUT -> server.link().set(Link.Mode.REFUSED);
            case SERVER_ORDERS_SILENT -> server.link().set(Link.Mode.REQUESTS_SILENT);
            case SERVER_ANSWERS_SILENT -> server.link().set(Link.Mode.ANSWERS_SILENT);
            case SERVER_DELAYED -> server.link().set(Link.Mode.DELAYED);
            case SERVER_RESTARTED -> {
                server.standin().restart();
                register(server);
            }
            case SERVER_FAILS -> server.standin().setMode(LeasedServer.Mode.FAILS_TASKS);
            case SERVER_CARRIES_OUT_LATE -> server.standin().setMode(LeasedServer.Mode.CARRIES_OUT_LATE);
            case SERVER_ENTRY_LOST -> store.remove("keyed.servers", server.id());
            default -> throw new IllegalArgumentException(kind + " does not concern a server");
        }
    }

    private void beginOnSite(FaultKind kind) throws InterruptedException {
        switch (kind) {
            case ALL_HOSTS_KILLED -> {
                for (Host host : hosts) {
                    host.process().kill();
                }
            }
            case STORE_REFUSES -> store.setDown(true);
            case CONFIGURATION_CHANGED -> changeConfiguration();
            default -> throw new IllegalArgumentException(kind + " does not concern the site");
        }
    }

    /** Ends a fault. What another fault did to the same object meanwhile may end as well. */
    void end(FaultPlan.Fault fault) throws Exception {
        switch (fault.kind().target()) {
            case HOST -> heal(hosts.get(fault.index()));
            case SERVER -> heal(servers.get(fault.index()));
            case SITE -> healSite(fault.kind());
        }
    }

    private static void heal(Host host) throws Exception {
        host.callers().set(Link.Mode.OPEN);
        host.store().set(Link.Mode.OPEN);
        writeSettings(host, host.processors());
        host.process().signal("CONT");
        startIfEnded(host);
    }

    private static void startIfEnded(Host host) throws IOException {
        if (!host.process().process().isAlive()) {
            host.process().start();
        }
    }

    private void heal(Server server) {
        server.link().set(Link.Mode.OPEN);
        server.standin().setMode(LeasedServer.Mode.WORKS);
        register(server);
    }

    private void healSite(FaultKind kind) throws IOException {
        if (kind == FaultKind.STORE_REFUSES) {
            store.setDown(false);
        } else if (kind == FaultKind.ALL_HOSTS_KILLED) {
            for (Host host : hosts) {
                startIfEnded(host);
            }
        }
    }

    /** Ends all faults, and starts the hosts that have stopped or are stopping. */
    void healAll(long stopMillis) throws Exception {
        store.setDown(false);
        servers.forEach(this::heal);
        for (Host host : hosts) {
            heal(host);
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(stopMillis);
        while (System.nanoTime() < endNanos) {
            for (Host host : hosts) {
                startIfEnded(host);
            }
            Thread.sleep(50);
        }
    }

    /** Ends all processes. */
    void close() throws InterruptedException {
        for (Host host : hosts) {
            host.process().kill();
        }
    }
}
