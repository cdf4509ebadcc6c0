package org.banyanspoke.host;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.net.IpEndpoint;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/** Peer addresses of the other entry hosts, taken from their records in the store and from their state messages. */
final class HostDirectory implements TopicFollower.Listener {
    /** Bounds the memory for the keys of invalid records. */
    private static final int MAX_LOGGED_KEYS = 1_000;

    private static final EventLog LOG = EventLog.of(HostDirectory.class);

    private final HostId self;
    private final Map<HostId, String> addresses = new HashMap<>();
    private final Set<String> loggedKeys = new HashSet<>();

    HostDirectory(HostId self) {
        this.self = self;
    }

    /** Returns the registration record of a host. */
    static StoreClient.Entry record(HostId host, String peerAddress) {
        return new StoreClient.Entry(host.value(), peerAddress.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void onAll(List<StoreClient.Entry> entries) {
        onChanges(entries);
    }

    @Override
    public void onChanges(List<StoreClient.Entry> entries) {
        for (StoreClient.Entry entry : entries) {
            try {
                apply(entry);
            } catch (IllegalArgumentException e) {
                logInvalid(entry.key(), e.getMessage());
            }
        }
    }

    private void apply(StoreClient.Entry entry) {
        HostId host = new HostId(entry.key());
        if (entry.value().length == 0) {
            addresses.remove(host);
        } else {
            recordAddress(host, new String(entry.value(), StandardCharsets.UTF_8));
        }
    }

    private void logInvalid(String key, String reason) {
        if (loggedKeys.size() < MAX_LOGGED_KEYS && loggedKeys.add(key)) {
            LOG.event(Logger.Level.WARN, "invalid entry host record ignored")
                    .with("key", key)
                    .with("reason", reason)
                    .write();
        }
    }

    /**
     * Records the address that a host has announced, which may arrive before the host's record has been read. An invalid
     * address changes nothing.
     */
    void recordAddress(HostId host, String address) {
        if (host.equals(self)) {
            return;
        }
        if (IpEndpoint.tryParse(address).isPresent()) {
            addresses.put(host, address);
        } else {
            // The text is not logged, because it may be as long as a record.
            logInvalid(host.value(), "the address is not ip:port");
        }
    }

    /** Returns whether a host is addressable: it is this one, or its address is known. */
    boolean knows(HostId host) {
        return host.equals(self) || addresses.containsKey(host);
    }

    /** Returns the other hosts with their peer addresses. */
    Collection<Map.Entry<HostId, String>> others() {
        return List.copyOf(addresses.entrySet());
    }

    /** Returns the ids of the other hosts. */
    Set<HostId> otherHosts() {
        return Set.copyOf(addresses.keySet());
    }

    String address(HostId host) {
        return addresses.get(host);
    }
}
