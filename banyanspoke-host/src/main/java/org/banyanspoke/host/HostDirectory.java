package org.banyanspoke.host;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.platform.StoreClient;

/** Peer addresses of the other entry hosts, taken from their records in the store and from their state messages. */
final class HostDirectory implements TopicFollower.Listener {
    private final HostId self;
    private final Map<HostId, String> addresses = new HashMap<>();

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
            HostId host = new HostId(entry.key());
            if (entry.value().length == 0) {
                addresses.remove(host);
            } else if (!host.equals(self)) {
                addresses.put(host, new String(entry.value(), StandardCharsets.UTF_8));
            }
        }
    }

    /** Records the address from a state message, which may arrive before the host's record has been read. */
    void recordAddress(HostId host, String address) {
        if (!host.equals(self)) {
            addresses.put(host, address);
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

    String address(HostId host) {
        return addresses.get(host);
    }
}
