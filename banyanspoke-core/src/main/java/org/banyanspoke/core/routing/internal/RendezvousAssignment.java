package org.banyanspoke.core.routing.internal;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.routing.SubsetAssignment;

/** Rendezvous hashing that ranks hosts of the server's availability zone first, and within both groups by hash. */
public final class RendezvousAssignment implements SubsetAssignment {
    /** A server accepts 64 connections and each assigned host opens 8. */
    static final int MAX_HOSTS_PER_SERVER = 8;

    private static final HashFunction HASH = Hashing.murmur3_128();
    private static final Comparator<Ranked> RANK_ORDER = Comparator.comparing(Ranked::sameZone)
            .thenComparingLong(Ranked::hash)
            .reversed()
            .thenComparing(Ranked::host, Comparator.comparing(HostId::value));

    private record Ranked(HostId host, boolean sameZone, long hash) {}

    @Override
    public List<HostId> assignedHosts(BackendServerConfig server, Collection<EntryHostConfig> entryHosts) {
        List<Ranked> ranked = new ArrayList<>(entryHosts.size());
        for (EntryHostConfig host : entryHosts) {
            boolean sameZone = host.zone().equals(server.zone());
            ranked.add(new Ranked(host.id(), sameZone, hash(server.id(), host.id())));
        }
        ranked.sort(RANK_ORDER);
        List<HostId> hosts = new ArrayList<>(MAX_HOSTS_PER_SERVER);
        for (Ranked host : ranked.subList(0, Math.min(MAX_HOSTS_PER_SERVER, ranked.size()))) {
            hosts.add(host.host());
        }
        return hosts;
    }

    private static long hash(ServerId server, HostId host) {
        return HASH.newHasher()
                .putString(server.value(), StandardCharsets.UTF_8)
                .putChar('/')
                .putString(host.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
