package org.banyanspoke.api.config;

import java.time.Instant;
import java.util.Set;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * A batch: a named class of work of one client account (team) under one contract.
 *
 * @param id the batch
 * @param team the client account that owns the batch
 * @param urgency its urgency class
 * @param contractExpiry the instant after which no task of the batch starts
 * @param promiseMillis time limit of one job, in milliseconds
 * @param servers backend servers eligible to serve it; empty if they are selected by labels only
 * @param serverLabels labels that an eligible backend server must all have; if both servers and labels are empty, every
 *     backend server is eligible
 */
public record BatchConfig(
        BatchId id,
        TeamId team,
        UrgencyClass urgency,
        Instant contractExpiry,
        long promiseMillis,
        Set<ServerId> servers,
        Set<String> serverLabels) {
    /** Copies the sets; null becomes the empty set. */
    public BatchConfig {
        servers = servers == null ? Set.of() : Set.copyOf(servers);
        serverLabels = serverLabels == null ? Set.of() : Set.copyOf(serverLabels);
    }

    /** Returns whether the backend server is eligible for this batch, regardless of its state. */
    public boolean allows(BackendServerConfig server) {
        return (servers.isEmpty() || servers.contains(server.id()))
                && server.labels().containsAll(serverLabels);
    }
}
