package org.banyanspoke.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.PlatformException;
import org.banyanspoke.platform.SiteTopics;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/**
 * The backend servers registered in the store. A removed entry stays valid for a grace period: entries expire during an
 * outage of the store, and live servers register again soon after it.
 */
final class ServerRegistry implements TopicFollower.Listener {
    /** Live servers register again within 2 s of the end of an outage. */
    private static final long REMOVAL_GRACE_MILLIS = 2_500;

    /** Bounds the memory for the keys of invalid entries. */
    private static final int MAX_LOGGED_KEYS = 1_000;

    private static final EventLog LOG = EventLog.of(ServerRegistry.class);

    private final MonotonicClock clock;
    private final Map<ServerId, ServerDescriptor> servers = new HashMap<>();
    private final Map<ServerId, Long> missingSinceMillis = new HashMap<>();
    /** Times at which slow servers are at full speed again, counted from the receipt of their entries. */
    private final Map<ServerId, Long> coldUntilMillis = new HashMap<>();

    private final Set<String> invalidKeys = new HashSet<>();
    /** Newest records, decoded on demand; hosts that do not dispatch never decode them. */
    private final Map<String, Received> pending = new LinkedHashMap<>();

    private record Received(StoreClient.Entry entry, long atMillis) {}

    ServerRegistry(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public void onAll(List<StoreClient.Entry> entries) {
        pending.clear();
        Set<ServerId> listed = new HashSet<>();
        for (StoreClient.Entry entry : entries) {
            applyEntry(entry, clock.millis()).ifPresent(listed::add);
        }
        servers.keySet().stream().filter(id -> !listed.contains(id)).forEach(this::markMissing);
    }

    @Override
    public void onChanges(List<StoreClient.Entry> entries) {
        for (StoreClient.Entry entry : entries) {
            if (entry.value().length == 0) {
                // The grace period starts at the removal, so removals are not deferred.
                applyIfPresent(pending.remove(entry.key()));
                applyEntry(entry, clock.millis());
            } else {
                pending.put(entry.key(), new Received(entry, clock.millis()));
            }
        }
    }

    private void applyIfPresent(Received received) {
        if (received != null) {
            applyEntry(received.entry(), received.atMillis());
        }
    }

    private Optional<ServerId> applyEntry(StoreClient.Entry entry, long receivedMillis) {
        try {
            ServerId id = SiteTopics.serverId(entry);
            Optional<ServerDescriptor> server = SiteTopics.server(entry);
            if (server.isEmpty()) {
                markMissing(id);
                return Optional.empty();
            }
            servers.put(id, server.get());
            coldUntilMillis.put(id, receivedMillis + server.get().coldRemainingMillis());
            missingSinceMillis.remove(id);
            return Optional.of(id);
        } catch (PlatformException e) {
            onInvalid(entry, e);
            return Optional.empty();
        }
    }

    /** An invalid entry names no server to use, so a server with this key counts as removed. */
    private void onInvalid(StoreClient.Entry entry, PlatformException error) {
        if (invalidKeys.size() < MAX_LOGGED_KEYS && invalidKeys.add(entry.key())) {
            LOG.event(Logger.Level.WARN, "invalid backend server entry in the registry ignored")
                    .with("key", entry.key())
                    .with("reason", error.getMessage())
                    .write();
        }
        servers.keySet().stream()
                .filter(id -> id.value().equals(entry.key()))
                .findAny()
                .ifPresent(this::markMissing);
    }

    private void markMissing(ServerId id) {
        if (servers.containsKey(id)) {
            missingSinceMillis.putIfAbsent(id, clock.millis());
        }
    }

    /** Returns the servers of an availability zone, without those whose grace period has ended. */
    List<ServerDescriptor> serversIn(ZoneId zone) {
        pending.values().forEach(this::applyIfPresent);
        pending.clear();
        long nowMillis = clock.millis();
        missingSinceMillis.entrySet().removeIf(each -> {
            boolean expired = nowMillis - each.getValue() >= REMOVAL_GRACE_MILLIS;
            if (expired) {
                servers.remove(each.getKey());
                coldUntilMillis.remove(each.getKey());
            }
            return expired;
        });
        List<ServerDescriptor> inZone = new ArrayList<>();
        for (ServerDescriptor server : servers.values()) {
            if (server.zone().equals(zone)) {
                inZone.add(withRemainingColdTime(server, nowMillis));
            }
        }
        return inZone;
    }

    private ServerDescriptor withRemainingColdTime(ServerDescriptor server, long nowMillis) {
        return server.coldRemainingMillis() == 0
                ? server
                : server.withColdRemainingMillis(Math.max(0, coldUntilMillis.get(server.id()) - nowMillis));
    }
}
