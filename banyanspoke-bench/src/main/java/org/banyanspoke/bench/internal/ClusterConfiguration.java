package org.banyanspoke.bench.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.bench.Load;
import org.banyanspoke.bench.Scenario;

/** Creates daemon settings and the initial configuration ticket of a scenario. */
final class ClusterConfiguration {
    static final String OPERATOR_TOKEN = "bench-operator";
    /** Quota larger than any load of the bench. */
    private static final int UNLIMITED_QUOTA = 10_000_000;

    private ClusterConfiguration() {}

    static String token(String team) {
        return "token-of-" + team;
    }

    static Map<String, String> tokens(Scenario scenario) {
        Map<String, String> tokens = new HashMap<>();
        scenario.loads().forEach(load -> tokens.put(load.name(), token(load.name())));
        return tokens;
    }

    static Ticket ticket(Scenario scenario, Topology topology) {
        List<TeamConfig> teams = new ArrayList<>();
        List<BatchConfig> batches = new ArrayList<>();
        for (Load load : scenario.loads()) {
            teams.add(team(load, topology.capacityPerSecond()));
            batches.add(batch(load));
        }
        Ticket.Put put = new Ticket.Put(teams, batches, topology.serverConfigs(), topology.hostConfigs(), null);
        return new Ticket(1, "bench-1", "bench", put, null);
    }

    private static TeamConfig team(Load load, double capacityPerSecond) {
        double startsPerSecond = load.quotaFraction() * capacityPerSecond;
        int starts = load.quotaFraction() == 0 ? UNLIMITED_QUOTA : (int) Math.ceil(startsPerSecond);
        int inFlight = load.quotaFraction() == 0 ? UNLIMITED_QUOTA : (int) Math.ceil(2 * startsPerSecond);
        return new TeamConfig(new TeamId(load.name()), 1, starts, inFlight, sha256(token(load.name())));
    }

    static TeamConfig teamWithoutQuota(String name) {
        return new TeamConfig(new TeamId(name), 1, UNLIMITED_QUOTA, UNLIMITED_QUOTA, sha256(token(name)));
    }

    private static BatchConfig batch(Load load) {
        Instant expiry = Instant.now().plus(1, ChronoUnit.DAYS);
        return new BatchConfig(
                new BatchId(load.name()),
                new TeamId(load.name()),
                load.urgency(),
                expiry,
                load.promiseMillis(),
                Set.of(),
                Set.of());
    }

    static Map<String, Object> settings(Topology topology, int host, String policy) {
        List<String> seeds = IntStream.range(0, topology.hosts())
                .filter(other -> other != host)
                .mapToObj(other -> "127.0.0.1:" + topology.peerPort(other))
                .toList();
        return Map.of(
                "host", Map.of("id", Topology.hostId(host), "zone", topology.zone(host), "region", "r1"),
                "callers", Map.of("address", "127.0.0.1:" + topology.callersPort(host)),
                "admin",
                        Map.of(
                                "address",
                                "127.0.0.1:" + topology.adminPort(host),
                                "operatorTokensSha256",
                                Map.of("bench", sha256(OPERATOR_TOKEN))),
                "peer", Map.of("address", "127.0.0.1:" + topology.peerPort(host), "seeds", seeds),
                "log", Map.of("address", "127.0.0.1:" + topology.logPort()),
                "hostList", Map.of("address", "127.0.0.1:" + topology.hostListPort()),
                "policy", Map.of("name", policy));
    }

    private static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
