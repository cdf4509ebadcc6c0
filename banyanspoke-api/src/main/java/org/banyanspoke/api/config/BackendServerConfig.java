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
 * @param slots tasks it executes at once
 * @param connections connections it accepts
 * @param labels what it can serve
 * @param state what operators want
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
    /** Copies the labels. */
    public BackendServerConfig {
        labels = labels == null ? Set.of() : Set.copyOf(labels);
    }
}
