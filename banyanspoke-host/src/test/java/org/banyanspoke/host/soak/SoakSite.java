package org.banyanspoke.host.soak;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.host.standins.Eventually;
import org.banyanspoke.host.standins.HostUnderTest;
import org.banyanspoke.host.standins.LeasedServer;
import org.banyanspoke.host.standins.OtherWriter;
import org.banyanspoke.host.standins.RunLedger;
import org.banyanspoke.host.standins.StoreStandin;

/** Entry hosts as processes in two zones, connected to stand-ins for the store and the servers through TCP proxies. */
final class SoakSite {
    static final int TASK_MILLICORES = 4_000;
    private static final int CAPACITY_MILLICORES = 16_000;
    private static final long LEASE_MILLIS = 1_000;
    static final List<String> ZONES = List.of("a", "b");
    private static final double[] PROCESSORS = {2.0, 0.5, 1.0};

    private final Vertx vertx;
    private final RunLedger ledger;
    private final Path folder;
    private final StoreStandin store;
    private final OtherWriter otherWriter;
    private final EvacuationJudge judge;
    private final List<Server> servers = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private int configurationVersion;

    /** An entry host with the proxies for its callers and for its connections to the store. */
    record Host(HostUnderTest process, String zone, double processors, TcpProxy callers, TcpProxy store) {}

    private record Server(String id, String zone, LeasedServer standin, TcpProxy proxy) {}

    SoakSite(Vertx vertx, RunLedger ledger, Path folder, EvacuationJudge judge) {
        this.judge = judge;
        this.vertx = vertx;
        this.ledger = ledger;
        this.folder = folder;
        this.store = new StoreStandin(vertx);
        this.otherWriter = new OtherWriter(store);
    }

    void start(int hostCount, int serverCount) throws Exception {
        Eventually.await(store.start());
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
        String zone = ZONES.get(index % ZONES.size());
        standin.onStart(task -> judge.started(zone, task));
        Eventually.await(standin.start());
        TcpProxy proxy = new TcpProxy(vertx, standin.port());
        Eventually.await(proxy.start());
        Server server = new Server("i-" + index, zone, standin, proxy);
        servers.add(server);
        register(server);
    }

    private void addHost(int index) throws Exception {
        HostUnderTest process = new HostUnderTest("host-" + index, folder);
        TcpProxy callers = new TcpProxy(vertx, process.callerPort());
        TcpProxy toStore = new TcpProxy(vertx, store.port());
        Eventually.await(callers.start());
        Eventually.await(toStore.start());
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
                server.standin().entry(server.zone(), server.proxy().port()));
    }

    private void changeConfiguration() {
        configurationVersion++;
        store.putConfiguration(configurationVersion, 1.5 + configurationVersion % 3 * 0.1);
    }

    List<Host> hosts() {
        return hosts;
    }

    /** Returns whether all hosts are ready and their pools' capacities add up to that of all servers. */
    boolean isFullyServing() throws InterruptedException {
        double capacityMillicores = 0;
        for (Host host : hosts) {
            if (host.process().readiness() != 200) {
                return false;
            }
            capacityMillicores += Math.max(0, host.process().metric("pool_capacity_millicores"));
        }
        return capacityMillicores == (double) servers.size() * CAPACITY_MILLICORES;
    }

    /** Begins a fault. Another writer leaves odd records in the store all the time, so each fault comes with some. */
    void begin(FaultPlan.Fault fault) throws Exception {
        otherWriter.writeNext();
        switch (fault.kind().target()) {
            case HOST -> beginOnHost(fault.kind(), hosts.get(fault.index()));
            case SERVER -> beginOnServer(fault.kind(), servers.get(fault.index()));
            case ZONE -> evacuate(ZONES.get(fault.index()));
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
            case CALLERS_DELAYED -> host.callers().setMode(TcpProxy.Mode.DELAYED);
            case CALLERS_BLOCKED -> host.callers().setMode(TcpProxy.Mode.REQUESTS_BLOCKED);
            case STORE_UNREACHABLE -> host.store().setMode(TcpProxy.Mode.REFUSED);
            case STORE_RESPONSES_BLOCKED -> host.store().setMode(TcpProxy.Mode.RESPONSES_BLOCKED);
            case STORE_DELAYED -> host.store().setMode(TcpProxy.Mode.DELAYED);
            default -> throw new IllegalArgumentException(kind + " does not apply to a host");
        }
    }

    private void beginOnServer(FaultKind kind, Server server) {
        switch (kind) {
            case SERVER_RESET -> server.proxy().reset();
            case SERVER_UNREACHABLE -> server.proxy().setMode(TcpProxy.Mode.REFUSED);
            case SERVER_REQUESTS_BLOCKED -> server.proxy().setMode(TcpProxy.Mode.REQUESTS_BLOCKED);
            case SERVER_RESPONSES_BLOCKED -> server.proxy().setMode(TcpProxy.Mode.RESPONSES_BLOCKED);
            case SERVER_DELAYED -> server.proxy().setMode(TcpProxy.Mode.DELAYED);
            case SERVER_RESTARTED -> {
                server.standin().restart();
                register(server);
            }
            case SERVER_FAILS -> server.standin().setMode(LeasedServer.Mode.FAILS_TASKS);
            case SERVER_EXECUTES_LATE -> server.standin().setMode(LeasedServer.Mode.EXECUTES_LATE);
            case SERVER_ENTRY_LOST -> store.remove("keyed.servers", server.id());
            default -> throw new IllegalArgumentException(kind + " does not apply to a server");
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
            default -> throw new IllegalArgumentException(kind + " does not apply to the site");
        }
    }

    /** Ends a fault. Overlapping faults on the same target may end as well. */
    void end(FaultPlan.Fault fault) throws Exception {
        switch (fault.kind().target()) {
            case HOST -> recover(hosts.get(fault.index()));
            case SERVER -> recover(servers.get(fault.index()));
            case ZONE -> returnToUse(ZONES.get(fault.index()));
            case SITE -> recoverSite(fault.kind());
        }
    }

    private void evacuate(String zone) {
        store.put("keyed.op", "evacuate/" + zone, new JsonObject());
        judge.requested(zone);
    }

    private void returnToUse(String zone) {
        judge.withdrawing(zone);
        store.remove("keyed.op", "evacuate/" + zone);
    }

    private static void recover(Host host) throws Exception {
        host.callers().setMode(TcpProxy.Mode.OPEN);
        host.store().setMode(TcpProxy.Mode.OPEN);
        writeSettings(host, host.processors());
        host.process().signal("CONT");
        startIfExited(host);
    }

    private static void startIfExited(Host host) throws IOException {
        if (!host.process().process().isAlive()) {
            host.process().start();
        }
    }

    private void recover(Server server) {
        server.proxy().setMode(TcpProxy.Mode.OPEN);
        server.standin().setMode(LeasedServer.Mode.NORMAL);
        register(server);
    }

    private void recoverSite(FaultKind kind) throws IOException {
        if (kind == FaultKind.STORE_REFUSES) {
            store.setDown(false);
        } else if (kind == FaultKind.ALL_HOSTS_KILLED) {
            for (Host host : hosts) {
                startIfExited(host);
            }
        }
    }

    /** Ends all faults, and for {@code stopMillis} restarts hosts that have exited. */
    void recoverAll(long stopMillis) throws Exception {
        store.setDown(false);
        servers.forEach(this::recover);
        ZONES.forEach(this::returnToUse);
        for (Host host : hosts) {
            recover(host);
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(stopMillis);
        while (System.nanoTime() < endNanos) {
            for (Host host : hosts) {
                startIfExited(host);
            }
            Thread.sleep(50);
        }
    }

    /** Kills all processes. */
    void close() throws InterruptedException {
        for (Host host : hosts) {
            host.process().kill();
        }
    }
}
