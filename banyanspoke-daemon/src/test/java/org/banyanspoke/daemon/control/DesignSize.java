package org.banyanspoke.daemon.control;

import com.google.common.hash.Hashing;
import java.time.Instant;
import java.util.Set;
import java.util.stream.IntStream;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.ids.ZoneId;

/** A configuration at the design size: 760 backend servers, 140 teams with 3 batches each, 180 entry hosts. */
final class DesignSize {
    private DesignSize() {}

    static Ticket ticket(long number) {
        Ticket.Put put = new Ticket.Put(
                IntStream.range(0, 140).mapToObj(DesignSize::team).toList(),
                IntStream.range(0, 420).mapToObj(DesignSize::batch).toList(),
                IntStream.range(0, 760).mapToObj(DesignSize::server).toList(),
                IntStream.range(0, 180).mapToObj(DesignSize::host).toList(),
                null);
        return new Ticket(number, "design-size", "alice", put, null);
    }

    private static TeamConfig team(int index) {
        String token = Hashing.sha256().hashInt(index).toString();
        return new TeamConfig(new TeamId("team-" + index), 1, 400, 400, token);
    }

    private static BatchConfig batch(int index) {
        return new BatchConfig(
                new BatchId("batch-" + index),
                new TeamId("team-" + index % 140),
                UrgencyClass.values()[index % 3],
                Instant.parse("2030-01-01T00:00:00Z"),
                10_000,
                Set.of(new ServerId("server-" + index)),
                Set.of("linux", "large"));
    }

    private static BackendServerConfig server(int index) {
        return new BackendServerConfig(
                new ServerId("server-" + index),
                new ZoneId("zone-" + index % 6),
                "rack-" + index / 8,
                address(index, 9_000),
                8,
                64,
                Set.of("linux", "large"),
                ServerState.IN_SERVICE);
    }

    private static EntryHostConfig host(int index) {
        return new EntryHostConfig(new HostId("host-" + index), new ZoneId("zone-" + index % 6), address(index, 8_082));
    }

    private static String address(int index, int port) {
        return "10.0." + index / 250 + "." + (index % 250 + 1) + ":" + port;
    }
}
