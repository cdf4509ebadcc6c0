package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.daemon.platform.HostListRead;
import org.banyanspoke.daemon.platform.ListedHost;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.TransportLimits;

/** Control services of several hosts that communicate over loopback and share one log. */
final class TestCluster implements AutoCloseable {
    private static final TransportLimits LIMITS =
            new TransportLimits(64 * 1024 * 1024, 64L * 1024 * 1024, 300, 200, 60_000);

    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Map<String, ControlService> running = new LinkedHashMap<>();
    private final Set<String> partitioned = ConcurrentHashMap.newKeySet();
    private final List<ListedHost> listed = new java.util.concurrent.CopyOnWriteArrayList<>();
    private long lastIncarnation;

    final FakeLog log = new FakeLog();

    /** Check used for all backend servers. */
    volatile ServerCheck serverCheck = address -> Single.error(new IOException("no server at " + address));

    TestCluster(int hosts) throws Exception {
        List<ServerSocket> reserved = new ArrayList<>();
        for (int i = 1; i <= hosts; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            reserved.add(socket);
            addresses.put("h" + i, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
    }

    String address(String host) {
        return addresses.get(host);
    }

    /** Starts a new incarnation of a host that reads the given log. */
    ControlService start(String host, FakeLog ownLog) throws Exception {
        Incarnation incarnation = new Incarnation(++lastIncarnation);
        PeerTransport transport = new PeerTransport(
                new HostId(host),
                incarnation,
                LIMITS,
                (direction, address) -> !partitioned.contains(host) && !partitioned.contains(hostAt(address)));
        List<String> seeds = List.of(address("h1"));
        ControlService service = new ControlService(
                new ControlSettings(
                        new HostId(host), incarnation, new ZoneId("z1"), address(host), address(host), seeds),
                ownLog,
                () -> Single.just(new HostListRead(listed, 0)),
                address -> serverCheck.check(address),
                transport,
                System::nanoTime,
                RandomSource.XO_RO_SHI_RO_128_PP.create(lastIncarnation));
        service.start(new Kernel());
        running.put(host, service);
        return service;
    }

    void startAll() throws Exception {
        for (String host : addresses.keySet()) {
            start(host, log);
        }
    }

    void stop(String host) throws Exception {
        running.remove(host).stop();
    }

    void partition(String host, boolean isPartitioned) {
        if (isPartitioned) {
            partitioned.add(host);
        } else {
            partitioned.remove(host);
        }
    }

    void list(ListedHost host) {
        listed.add(host);
    }

    ControlService host(String host) {
        return running.get(host);
    }

    Incarnation incarnation(String host) {
        return host(host).members().stream()
                .filter(member -> member.host().equals(new HostId(host)))
                .findFirst()
                .orElseThrow()
                .incarnation();
    }

    /** Returns the first ticket, with a team and the roster. */
    Ticket roster() {
        List<EntryHostConfig> hosts = new ArrayList<>();
        addresses.forEach(
                (host, address) -> hosts.add(new EntryHostConfig(new HostId(host), new ZoneId("z1"), address)));
        TeamConfig team = new TeamConfig(new TeamId("a"), 1, 300, 300, "0".repeat(64));
        return new Ticket(1, "roster", "alice", new Ticket.Put(List.of(team), null, null, hosts, null), null);
    }

    /** Returns a ticket that puts a backend server in service. */
    static Ticket server(long number, String id, String address) {
        BackendServerConfig server = new BackendServerConfig(
                new ServerId(id), new ZoneId("z1"), "r1", address, 8, 64, Set.of(), ServerState.IN_SERVICE);
        return new Ticket(
                number, "server-" + id, "alice", new Ticket.Put(null, null, List.of(server), null, null), null);
    }

    static Ticket weight(long number, String ticketId, int weight) {
        TeamConfig team = new TeamConfig(new TeamId("a"), weight, 300, 300, "0".repeat(64));
        return new Ticket(number, ticketId, "alice", new Ticket.Put(List.of(team), null, null, null, null), null);
    }

    TicketOutcome.State append(String host, Ticket ticket) {
        return host(host).appendTicket(ticket).blockingGet().state();
    }

    /** Starts all hosts, appends the roster and waits until every host sees all members as live. */
    void startWithRoster() throws Exception {
        startAll();
        append("h1", roster());
        await(60_000, () -> running.values().stream().allMatch(service -> isComplete(service)));
    }

    private boolean isComplete(ControlService service) {
        return service.readiness().ready()
                && service.members().size() == addresses.size()
                && service.members().stream().allMatch(member -> member.liveness() == MemberView.Liveness.LIVE);
    }

    static void await(long limitMillis, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("the condition did not hold within " + limitMillis + " ms");
            }
            Thread.sleep(20);
        }
    }

    void awaitNumber(String host, long number) throws InterruptedException {
        await(5_000, () -> host(host).config().number() >= number);
    }

    private String hostAt(String address) {
        return addresses.entrySet().stream()
                .filter(entry -> entry.getValue().equals(address))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("");
    }

    @Override
    public void close() throws Exception {
        for (ControlService service : running.values()) {
            service.stop();
        }
    }
}
