package org.banyanspoke.core.ownership;

import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;

/**
 * What an entry host says of itself.
 *
 * @param host the host
 * @param zone its availability zone
 * @param registration number that the store gave this process; 0 before it has one. Lower is older.
 * @param processorMillicores processor capacity of the host, in thousandths of a core
 * @param leaving whether it hands its servers over, because it stops or a stronger host is there
 * @param round of its claim to dispatch for its zone; 0 if it does not dispatch. The higher round wins.
 * @param held servers that a leaving dispatcher still uses
 * @param load how full its pool is
 */
public record HostState(
        HostId host,
        ZoneId zone,
        long registration,
        long processorMillicores,
        boolean leaving,
        long round,
        Set<ServerId> held,
        PoolLoad load) {
    /** Returns whether the host claims to dispatch for its zone. */
    public boolean dispatching() {
        return round > 0;
    }

    /** Returns whether this host should rather dispatch than another one: the stronger, and of equals the older. */
    public boolean suitsBefore(HostState other) {
        return processorMillicores != other.processorMillicores
                ? processorMillicores > other.processorMillicores
                : registration < other.registration;
    }

    /** Returns whether this claim goes before another one. */
    public boolean claimsBefore(HostState other) {
        return round != other.round ? round > other.round : registration > other.registration;
    }
}
