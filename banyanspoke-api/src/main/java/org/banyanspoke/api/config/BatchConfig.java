package org.banyanspoke.api.config;

import java.time.Instant;
import java.util.Set;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * A batch: a named class of work of one team with one contract.
 *
 * @param id the batch
 * @param team the owner
 * @param urgency its class
 * @param contractExpiry the instant after which no task of the batch starts
 * @param promiseMillis time allowed for one job in milliseconds
 * @param servers backend servers that may serve it; empty if chosen by labels only
 * @param serverLabels labels that a backend server must all have to be eligible; with no servers and no labels, every
 *     backend server may serve the batch
 */
public record BatchConfig(
        BatchId id,
        TeamId team,
        UrgencyClass urgency,
        Instant contractExpiry,
        long promiseMillis,
        Set<ServerId> servers,
        Set<String> serverLabels) {
    /** Copies the sets. */
    public BatchConfig {
        servers = servers == null ? Set.of() : Set.copyOf(servers);
        serverLabels = serverLabels == null ? Set.of() : Set.copyOf(serverLabels);
    }

    /** Returns whether the backend server may serve this batch, whatever its state. */
    public boolean allows(BackendServerConfig server) {
        return (servers.isEmpty() || servers.contains(server.id()))
                && server.labels().containsAll(serverLabels);
    }
}
