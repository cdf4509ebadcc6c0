package org.banyanspoke.bench.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.bench.FaultAction.Target;
import org.banyanspoke.bench.Scenario;
import org.banyanspoke.bench.Shape;
import org.banyanspoke.standins.backend.ZoneDelay;

/** Layout of a run: hosts, servers, server speeds, zones and ports. */
public final class Topology {
    /** Number of tasks that a server runs concurrently (design, section 1). */
    public static final int SLOTS_PER_SERVER = 8;

    /** Label of listening servers. */
    public static final String LISTENING_LABEL = "served";

    private static final int CONNECTIONS_PER_SERVER = 64;
    /** Rack size at Kilima (design, section 1). */
    private static final int SERVERS_PER_RACK = 8;

    private static final int CLOSED_PORT = 9;
    private static final int ADDRESSES_PER_BLOCK = 250;
    private static final int PORTS_PER_HOST = 3;
    private static final int PLATFORM_PORTS = 5;

    private final int zones;
    private final int serversPerRack;
    private final int hosts;
    private final List<Double> speeds;
    private final int configuredServers;
    private final int basePort;

    private Topology(
            int zones, int serversPerRack, int hosts, List<Double> speeds, int configuredServers, int basePort) {
        this.zones = zones;
        this.serversPerRack = serversPerRack;
        this.hosts = hosts;
        this.speeds = speeds;
        this.configuredServers = configuredServers;
        this.basePort = basePort;
    }

    /**
     * Creates the topology of a scenario on free ports.
     *
     * @throws IOException if no free ports are found
     */
    public static Topology of(Scenario scenario, Shape shape, double scale) throws IOException {
        int hosts = scenario.hosts() > 0 ? scenario.hosts() : shape.hosts(scale);
        int servers = shape.servers(scale);
        List<Double> speeds = speeds(servers, scenario.speedRatio());
        int base = FreePorts.findConsecutive(PLATFORM_PORTS + servers + hosts * PORTS_PER_HOST);
        return new Topology(shape.zones(), shape.serversPerRack(scale), hosts, speeds, servers, base);
    }

    /**
     * Creates a topology of servers with equal speed, of which only the first {@code listeningServers} are running. The
     * others are configured with closed ports. Listening servers have the label {@value #LISTENING_LABEL}.
     *
     * @throws IOException if no free ports are found
     */
    public static Topology ofSize(int zones, int hosts, int configuredServers, int listeningServers)
            throws IOException {
        int listening = Math.min(configuredServers, listeningServers);
        int base = FreePorts.findConsecutive(PLATFORM_PORTS + listening + hosts * PORTS_PER_HOST);
        List<Double> speeds = Collections.nCopies(listening, 1.0);
        return new Topology(zones, SERVERS_PER_RACK, hosts, speeds, configuredServers, base);
    }

    /** Returns speeds evenly spaced on a logarithmic scale around 1, so that every zone has fast and slow servers. */
    static List<Double> speeds(int servers, double ratio) {
        return IntStream.range(0, servers)
                .mapToObj(i -> servers == 1 ? 1.0 : Math.pow(ratio, (double) i / (servers - 1) - 0.5))
                .toList();
    }

    /** Returns the relative speed of each running server. */
    public List<Double> speeds() {
        return speeds;
    }

    /** Returns the total capacity of all running servers, in tasks per second. */
    public double capacityPerSecond() {
        double speed = speeds.stream().mapToDouble(Double::doubleValue).sum();
        return speed * SLOTS_PER_SERVER * 1_000 / LoadPlanner.meanRunMillis();
    }

    int hosts() {
        return hosts;
    }

    int logPort() {
        return basePort;
    }

    int logControlPort() {
        return basePort + 1;
    }

    int hostListPort() {
        return basePort + 2;
    }

    int hostListControlPort() {
        return basePort + 3;
    }

    int backendControlPort() {
        return basePort + 4;
    }

    int serverPort(int server) {
        return basePort + PLATFORM_PORTS + server;
    }

    int callersPort(int host) {
        return serverPort(speeds.size()) + host * PORTS_PER_HOST;
    }

    int adminPort(int host) {
        return callersPort(host) + 1;
    }

    int peerPort(int host) {
        return callersPort(host) + 2;
    }

    String zone(int index) {
        return "z" + (index % zones + 1);
    }

    /** Returns the one-way delay between zones and the zones of servers and hosts, for the backend simulator. */
    ZoneDelay zoneDelay(long delayMicros) {
        List<String> serverZones =
                IntStream.range(0, speeds.size()).mapToObj(this::zone).toList();
        Map<String, String> hostZones =
                IntStream.range(0, hosts).boxed().collect(Collectors.toMap(Topology::hostId, this::zone));
        return new ZoneDelay(delayMicros, serverZones, hostZones);
    }

    private String rack(int server) {
        int indexInZone = server / zones;
        return zone(server) + "-r" + (indexInZone / serversPerRack + 1);
    }

    /** Returns the indexes of the servers affected by a fault. */
    List<Integer> servers(Target target) {
        return IntStream.range(0, speeds.size())
                .filter(server -> matches(target, server, rack(server)))
                .boxed()
                .toList();
    }

    /** Returns the indexes of the entry hosts affected by a fault. */
    List<Integer> hosts(Target target) {
        return IntStream.range(0, hosts)
                .filter(host -> matches(target, host, ""))
                .boxed()
                .toList();
    }

    private boolean matches(Target target, int index, String rack) {
        return switch (target) {
            case ALL -> true;
            case FIRST -> index == 0;
            case RACK -> rack.equals("z1-r1");
            case ZONE -> zone(index).equals("z1");
        };
    }

    List<EntryHostConfig> hostConfigs() {
        List<EntryHostConfig> configs = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            configs.add(new EntryHostConfig(
                    new HostId(hostId(host)), new ZoneId(zone(host)), "127.0.0.1:" + peerPort(host)));
        }
        return configs;
    }

    List<BackendServerConfig> serverConfigs() {
        List<BackendServerConfig> configs = new ArrayList<>();
        for (int server = 0; server < configuredServers; server++) {
            configs.add(new BackendServerConfig(
                    new ServerId("b" + server),
                    new ZoneId(zone(server)),
                    rack(server),
                    serverAddress(server),
                    SLOTS_PER_SERVER,
                    CONNECTIONS_PER_SERVER,
                    server < speeds.size() ? Set.of(LISTENING_LABEL) : Set.of(),
                    ServerState.IN_SERVICE));
        }
        return configs;
    }

    private String serverAddress(int server) {
        if (server < speeds.size()) {
            return "127.0.0.1:" + serverPort(server);
        }
        return "127.1." + server / ADDRESSES_PER_BLOCK + "." + (server % ADDRESSES_PER_BLOCK + 1) + ":" + CLOSED_PORT;
    }

    static String hostId(int host) {
        return "h" + (host + 1);
    }
}
