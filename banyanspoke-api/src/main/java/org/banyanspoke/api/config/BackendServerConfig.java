package org.banyanspoke.api.config;

import java.util.Set;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;

/**
 * A backend server.
 *
 * @param id the server
 * @param zone its availability zone
 * @param rack its rack
 * @param address {@code ip:port} of its HTTP service
 * @param slots maximum number of tasks it executes concurrently
 * @param connections maximum number of connections it accepts
 * @param labels labels that batches select eligible servers by
 * @param state administrative state, set by operators
 */
public record BackendServerConfig(
        ServerId id,
        ZoneId zone,
        String rack,
        String address,
        int slots,
        int connections,
        Set<String> labels,
        ServerState state) {
    /** Copies the labels; null becomes the empty set. */
    public BackendServerConfig {
        labels = labels == null ? Set.of() : Set.copyOf(labels);
    }
}
