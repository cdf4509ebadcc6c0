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

/** Rendezvous hashing: hosts of the server's own zone first, then of other zones, each by highest hash. */
public final class RendezvousAssignment implements SubsetAssignment {
    /** A server has 64 connections and each sharer opens 8. */
    static final int MAX_SHARERS = 8;

    private static final HashFunction HASH = Hashing.murmur3_128();
    private static final Comparator<Ranked> ORDER = Comparator.comparing(Ranked::sameZone)
            .thenComparingLong(Ranked::hash)
            .reversed()
            .thenComparing(Ranked::host, Comparator.comparing(HostId::value));

    private record Ranked(HostId host, boolean sameZone, long hash) {}

    @Override
    public List<HostId> sharers(BackendServerConfig server, Collection<EntryHostConfig> roster) {
        List<Ranked> ranked = new ArrayList<>(roster.size());
        for (EntryHostConfig host : roster) {
            boolean sameZone = host.zone().equals(server.zone());
            ranked.add(new Ranked(host.id(), sameZone, hash(server.id(), host.id())));
        }
        ranked.sort(ORDER);
        List<HostId> sharers = new ArrayList<>(MAX_SHARERS);
        for (Ranked host : ranked.subList(0, Math.min(MAX_SHARERS, ranked.size()))) {
            sharers.add(host.host());
        }
        return sharers;
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
