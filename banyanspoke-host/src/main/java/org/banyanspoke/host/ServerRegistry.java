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
 * The backend servers that describe themselves in the store. An entry that disappears holds a little longer: while the store
 * is away entries lapse, and those of living servers are back soon after its return.
 */
final class ServerRegistry implements TopicFollower.Listener {
    /** Entries of living servers are back within two seconds. */
    private static final long MISSING_MILLIS = 2_500;

    private static final EventLog LOG = EventLog.of(ServerRegistry.class);

    private final MonotonicClock clock;
    private final Map<ServerId, ServerDescriptor> servers = new HashMap<>();
    private final Map<ServerId, Long> missingSinceMillis = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();
    /** Newest records that nobody has asked for yet. Hosts that do not dispatch never do. */
    private final Map<String, StoreClient.Entry> unread = new LinkedHashMap<>();

    ServerRegistry(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public void onAll(List<StoreClient.Entry> entries) {
        unread.clear();
        Set<ServerId> listed = new HashSet<>();
        for (StoreClient.Entry entry : entries) {
            onEntry(entry).ifPresent(listed::add);
        }
        servers.keySet().stream().filter(id -> !listed.contains(id)).forEach(this::missing);
    }

    @Override
    public void onChanges(List<StoreClient.Entry> entries) {
        for (StoreClient.Entry entry : entries) {
            if (entry.value().length == 0) {
                // When an entry disappeared decides how long it holds, so this is not put off.
                read(unread.remove(entry.key()));
                onEntry(entry);
            } else {
                unread.put(entry.key(), entry);
            }
        }
    }

    private void read(StoreClient.Entry entry) {
        if (entry != null) {
            onEntry(entry);
        }
    }

    private Optional<ServerId> onEntry(StoreClient.Entry entry) {
        try {
            ServerId id = SiteTopics.serverId(entry);
            Optional<ServerDescriptor> server = SiteTopics.server(entry);
            if (server.isEmpty()) {
                missing(id);
                return Optional.empty();
            }
            servers.put(id, server.get());
            missingSinceMillis.remove(id);
            return Optional.of(id);
        } catch (PlatformException e) {
            if (unreadable.add(entry.key())) {
                LOG.event(Logger.Level.WARN, "an entry of the registry names no server to use")
                        .with("key", entry.key())
                        .with("reason", e.getMessage())
                        .write();
            }
            return Optional.empty();
        }
    }

    private void missing(ServerId id) {
        if (servers.containsKey(id)) {
            missingSinceMillis.putIfAbsent(id, clock.millis());
        }
    }

    /** Returns the servers of a zone. */
    List<ServerDescriptor> in(ZoneId zone) {
        unread.values().forEach(this::read);
        unread.clear();
        long nowMillis = clock.millis();
        missingSinceMillis.entrySet().removeIf(each -> {
            boolean gone = nowMillis - each.getValue() >= MISSING_MILLIS;
            if (gone) {
                servers.remove(each.getKey());
            }
            return gone;
        });
        List<ServerDescriptor> found = new ArrayList<>();
        for (ServerDescriptor server : servers.values()) {
            if (server.zone().equals(zone)) {
                found.add(server);
            }
        }
        return found;
    }
}
