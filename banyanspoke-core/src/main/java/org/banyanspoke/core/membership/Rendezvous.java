package org.banyanspoke.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.banyanspoke.api.ids.HostId;

/** Rendezvous hashing: every host computes the same selection from the same set without messages. */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the hosts with the highest hashes for a key, at most {@code count}. */
    public static List<HostId> choose(String key, Collection<HostId> hosts, int count) {
        Comparator<Ranked> byHash = Comparator.comparingLong(Ranked::hash);
        return hosts.stream()
                .map(host -> new Ranked(host, hash(key, host)))
                .sorted(byHash.thenComparing(Ranked::host).reversed())
                .limit(count)
                .map(Ranked::host)
                .toList();
    }

    /** A host with its hash, so that sorting computes the hash once for each host. */
    private record Ranked(HostId host, long hash) {}

    private static long hash(String key, HostId host) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putChar('/')
                .putString(host.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
