package org.banyanspoke.api.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * A change ticket: the whole new state of every object it touches.
 *
 * @param number the last accepted number plus 1
 * @param ticketId chosen by the author, unique; settles whether an append with a lost answer took effect
 * @param author the operator
 * @param put objects to create or replace
 * @param remove objects to delete
 */
public record Ticket(long number, String ticketId, String author, Put put, Remove remove) {
    /** Replaces absent parts by empty ones. */
    public Ticket {
        put = put == null ? new Put(null, null, null, null, null) : put;
        remove = remove == null ? new Remove(null, null, null, null) : remove;
    }

    /** Objects to create or replace; each entry is the whole new state of that object. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record Put(
            List<TeamConfig> teams,
            List<BatchConfig> batches,
            List<BackendServerConfig> servers,
            List<EntryHostConfig> hosts,
            ClassShares classShares) {
        /** Copies the lists. */
        public Put {
            teams = copy(teams);
            batches = copy(batches);
            servers = copy(servers);
            hosts = copy(hosts);
        }
    }

    /** Objects to delete. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record Remove(List<TeamId> teams, List<BatchId> batches, List<ServerId> servers, List<HostId> hosts) {
        /** Copies the lists. */
        public Remove {
            teams = copy(teams);
            batches = copy(batches);
            servers = copy(servers);
            hosts = copy(hosts);
        }
    }

    private static <T> List<T> copy(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
