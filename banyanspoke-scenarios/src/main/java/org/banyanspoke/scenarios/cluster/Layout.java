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
 * Ports, settings and tickets of a scenario. Hosts and servers are spread over three zones.
 *
 * @param basePort first port
 * @param hosts number of entry hosts
 * @param servers number of backend servers
 */
record Layout(int basePort, int hosts, int servers) {
    static final String OPERATOR_TOKEN = "operator-token";
    private static final long PROMISE_MILLIS = 20_000;
    private static final int ZONES = 3;
    private static final int PORTS_PER_HOST = 5;
    private static final int PLATFORM_PORTS = 6;

    static Layout onFreePorts(int hosts, int servers) throws IOException {
        int count = PLATFORM_PORTS + servers + hosts * PORTS_PER_HOST;
        return new Layout(FreePorts.findConsecutive(count), hosts, servers);
    }

    int logPort() {
        return basePort;
    }

    int logControl() {
        return basePort + 1;
    }

    int hostListPort() {
        return basePort + 2;
    }

    int hostListControl() {
        return basePort + 3;
    }

    int fleetControl() {
        return basePort + 4;
    }

    int relayControl() {
        return basePort + 5;
    }

    int server(int index) {
        return basePort + PLATFORM_PORTS + index;
    }

    private int host(int index, int offset) {
        return server(servers) + index * PORTS_PER_HOST + offset;
    }

    int callers(int host) {
        return host(host, 0);
    }

    int admin(int host) {
        return host(host, 1);
    }

    /** Port on which the host listens for peers. */
    int peer(int host) {
        return host(host, 2);
    }

    /** Port under which other hosts know it: a relay that a scenario can cut. */
    int peerRelay(int host) {
        return host(host, 3);
    }

    /** Port through which the host reaches the log. */
    int logRelay(int host) {
        return host(host, 4);
    }

    static String hostId(int host) {
        return "host" + (host + 1);
    }

    static String serverId(int server) {
        return "b" + server;
    }

    private static String zone(int index) {
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
            routes.add(peerRelay(host) + "=" + address(peer(host)));
            routes.add(logRelay(host) + "=" + address(logPort()));
        }
        return routes;
    }

    Map<String, Object> settings(int host) {
        List<String> seeds = IntStream.range(0, hosts)
                .filter(other -> other != host)
                .mapToObj(other -> address(peerRelay(other)))
                .toList();
        return Map.of(
                "host", Map.of("id", hostId(host), "zone", zone(host), "region", "region1"),
                "callers", Map.of("address", address(callers(host))),
                "admin",
                        Map.of(
                                "address",
                                address(admin(host)),
                                "operatorTokensSha256",
                                Map.of("scenario", sha256(OPERATOR_TOKEN))),
                "peer",
                        Map.of(
                                "address",
                                address(peer(host)),
                                "advertisedAddress",
                                address(peerRelay(host)),
                                "seeds",
                                seeds),
                "log", Map.of("address", address(logRelay(host))),
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
                .mapToObj(i -> new EntryHostConfig(new HostId(hostId(i)), new ZoneId(zone(i)), address(peerRelay(i))))
                .toList();
        Ticket.Put put = new Ticket.Put(teams, batches, serverConfigs, hostConfigs, null);
        return new Ticket(1, "first", "scenario", put, null);
    }

    BackendServerConfig serverConfig(int index, ServerState state) {
        return new BackendServerConfig(
                new ServerId(serverId(index)),
                new ZoneId(zone(index)),
                "rack" + index / 8,
                address(server(index)),
                8,
                64,
                Set.of(),
                state);
    }

    /** A ticket that changes only the promise of the batch. */
    static Ticket promiseTicket(long number, String ticketId, long promiseMillis) {
        Ticket.Put put = new Ticket.Put(null, List.of(Contract.MAIN.batchConfig(promiseMillis)), null, null, null);
        return new Ticket(number, ticketId, "scenario", put, null);
    }

    /** A ticket that changes only the state of a server. */
    Ticket serverTicket(long number, int server, ServerState state) {
        Ticket.Put put = new Ticket.Put(null, null, List.of(serverConfig(server, state)), null, null);
        return new Ticket(number, "server-" + server + "-" + number, "scenario", put, null);
    }

    /** Returns the hosts of a zone, numbered from 0. */
    List<Integer> hostsOfZone(int zone) {
        return IntStream.range(0, hosts)
                .filter(host -> host % ZONES == zone % ZONES)
                .boxed()
                .toList();
    }
}
