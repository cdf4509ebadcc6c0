package org.banyanspoke.api.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * A change ticket: the complete new state of every configuration object that it changes.
 *
 * @param number number of the last accepted ticket plus 1
 * @param ticketId unique id chosen by the author; shows whether an append whose response was lost took effect
 * @param author the operator who submits the ticket
 * @param put objects to create or replace
 * @param remove objects to delete
 */
public record Ticket(long number, String ticketId, String author, Put put, Remove remove) {
    /** Replaces null parts with empty ones. */
    public Ticket {
        put = put == null ? new Put(null, null, null, null, null) : put;
        remove = remove == null ? new Remove(null, null, null, null) : remove;
    }

    /** Objects to create or replace; each entry is the complete new state of that object. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record Put(
            List<TeamConfig> teams,
            List<BatchConfig> batches,
            List<BackendServerConfig> servers,
            List<EntryHostConfig> hosts,
            ClassShares classShares) {
        /** Copies the lists; null becomes the empty list. */
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
        /** Copies the lists; null becomes the empty list. */
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
