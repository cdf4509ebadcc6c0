package org.banyanspoke.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
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
import org.banyanspoke.api.json.Json;

/** Test data: tickets and log records. */
final class Tickets {
    private Tickets() {}

    /** Returns a valid ticket that is accepted in any state; its effect depends on its id. */
    static Ticket shares(long number, String ticketId) {
        int percent = Math.floorMod(ticketId.hashCode(), 50);
        return put(number, ticketId, List.of(), List.of(), new ClassShares(percent, 50, 50 - percent));
    }

    static Ticket put(
            long number, String ticketId, List<TeamConfig> teams, List<BatchConfig> batches, ClassShares shares) {
        Ticket.Put put = new Ticket.Put(teams, batches, List.of(), List.of(), shares);
        return new Ticket(number, ticketId, "alice", put, null);
    }

    static TeamConfig team(String id) {
        return new TeamConfig(new TeamId(id), 1, 100, 100, sha(id));
    }

    static BatchConfig batch(String id, String team) {
        return new BatchConfig(
                new BatchId(id),
                new TeamId(team),
                UrgencyClass.NORMAL,
                Instant.parse("2030-01-01T00:00:00Z"),
                1_000,
                Set.of(),
                Set.of());
    }

    static BackendServerConfig server(String id, String address, ServerState state) {
        return new BackendServerConfig(
                new ServerId(id), new ZoneId("z1"), "r1", address, 8, 64, Set.of("linux"), state);
    }

    static EntryHostConfig host(String id, String address) {
        return new EntryHostConfig(new HostId(id), new ZoneId("z1"), address);
    }

    static JsonNode body(Ticket ticket) {
        return Json.mapper().createObjectNode().set("ticket", Json.mapper().valueToTree(ticket));
    }

    static JsonNode body(ConfigSnapshot snapshot) {
        return Json.mapper().createObjectNode().set("snapshot", Json.mapper().valueToTree(snapshot));
    }

    private static String sha(String text) {
        return com.google.common.hash.Hashing.sha256().hashUnencodedChars(text).toString();
    }
}
