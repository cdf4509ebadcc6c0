package org.banyanspoke.scenarios.cluster;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.bench.internal.FreePorts;

/**
 * Ports, settings and tickets of a test cluster. Hosts and servers are spread over three availability zones.
 *
 * @param basePort first port of the block of free ports
 * @param hosts number of entry hosts
 * @param servers number of backend servers
 */
record Layout(int basePort, int hosts, int servers) {
    static final String OPERATOR_TOKEN = "operator-token";
    private static final long PROMISE_MILLIS = 20_000;
    private static final int ZONES = 3;
    private static final int PORTS_PER_HOST = 5;
    private static final int SHARED_PORTS = 6;

    static Layout onFreePorts(int hosts, int servers) throws IOException {
        int portCount = SHARED_PORTS + servers + hosts * PORTS_PER_HOST;
        return new Layout(FreePorts.findConsecutive(portCount), hosts, servers);
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

    int relayControlPort() {
        return basePort + 5;
    }

    int serverPort(int index) {
        return basePort + SHARED_PORTS + index;
    }

    private int hostPort(int index, int offset) {
        return serverPort(servers) + index * PORTS_PER_HOST + offset;
    }

    int callersPort(int host) {
        return hostPort(host, 0);
    }

    int adminPort(int host) {
        return hostPort(host, 1);
    }

    /** Returns the port on which the host listens for peers. */
    int peerPort(int host) {
        return hostPort(host, 2);
    }

    /** Returns the port that the host advertises to its peers: a relay whose link can be cut. */
    int peerRelayPort(int host) {
        return hostPort(host, 3);
    }

    /** Returns the port of the relay through which the host reaches the log. */
    int logRelayPort(int host) {
        return hostPort(host, 4);
    }

    static String hostId(int host) {
        return "host" + (host + 1);
    }

    static String serverId(int server) {
        return "b" + server;
    }

    private static String zoneId(int index) {
        return "zone" + (index % ZONES + 1);
    }

    private static String address(int port) {
        return "127.0.0.1:" + port;
    }

    static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    List<String> relayRoutes() {
        List<String> routes = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            routes.add(peerRelayPort(host) + "=" + address(peerPort(host)));
            routes.add(logRelayPort(host) + "=" + address(logPort()));
        }
        return routes;
    }

    Map<String, Object> settings(int host) {
        List<String> seeds = IntStream.range(0, hosts)
                .filter(other -> other != host)
                .mapToObj(other -> address(peerRelayPort(other)))
                .toList();
        return Map.of(
                "host", Map.of("id", hostId(host), "zone", zoneId(host), "region", "region1"),
                "callers", Map.of("address", address(callersPort(host))),
                "admin",
                        Map.of(
                                "address",
                                address(adminPort(host)),
                                "operatorTokensSha256",
                                Map.of("scenario", sha256(OPERATOR_TOKEN))),
                "peer",
                        Map.of(
                                "address",
                                address(peerPort(host)),
                                "advertisedAddress",
                                address(peerRelayPort(host)),
                                "seeds",
                                seeds),
                "log", Map.of("address", address(logRelayPort(host))),
                "hostList", Map.of("address", address(hostListPort())),
                "drain", Map.of("noticeMillis", 500));
    }

    Ticket firstTicket() {
        List<TeamConfig> teams =
                Stream.of(Contract.values()).map(Contract::teamConfig).toList();
        List<BatchConfig> batches = Stream.of(Contract.values())
                .map(contract -> contract.batchConfig(PROMISE_MILLIS))
                .toList();
        List<BackendServerConfig> serverConfigs = IntStream.range(0, servers)
                .mapToObj(i -> serverConfig(i, ServerState.IN_SERVICE))
                .toList();
        List<EntryHostConfig> hostConfigs = IntStream.range(0, hosts)
                .mapToObj(i ->
                        new EntryHostConfig(new HostId(hostId(i)), new ZoneId(zoneId(i)), address(peerRelayPort(i))))
                .toList();
        Ticket.Put put = new Ticket.Put(teams, batches, serverConfigs, hostConfigs, null);
        return new Ticket(1, "first", "scenario", put, null);
    }

    BackendServerConfig serverConfig(int index, ServerState state) {
        return new BackendServerConfig(
                new ServerId(serverId(index)),
                new ZoneId(zoneId(index)),
                "rack" + index / 8,
                address(serverPort(index)),
                8,
                64,
                Set.of(),
                state);
    }

    /** Builds a ticket that changes only the promised time of the main batch. */
    static Ticket promiseTicket(long number, String ticketId, long promiseMillis) {
        Ticket.Put put = new Ticket.Put(null, List.of(Contract.MAIN.batchConfig(promiseMillis)), null, null, null);
        return new Ticket(number, ticketId, "scenario", put, null);
    }

    /** Builds a ticket that changes only the state of a server. */
    Ticket serverTicket(long number, int server, ServerState state) {
        Ticket.Put put = new Ticket.Put(null, null, List.of(serverConfig(server, state)), null, null);
        return new Ticket(number, "server-" + server + "-" + number, "scenario", put, null);
    }

    /** Returns the indexes of the hosts in a zone; the zone's index is zero-based. */
    List<Integer> hostsOfZone(int zone) {
        return IntStream.range(0, hosts)
                .filter(host -> host % ZONES == zone % ZONES)
                .boxed()
                .toList();
    }
}
