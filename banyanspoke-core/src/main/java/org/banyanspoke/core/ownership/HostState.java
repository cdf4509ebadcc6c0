package org.banyanspoke.core.ownership;

import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;

/**
 * State that an entry host reports about itself.
 *
 * @param host the host
 * @param zone its availability zone
 * @param registration registration number assigned by the store; 0 before registration. Older hosts have lower numbers.
 * @param processorMillicores processor capacity of the host, in thousandths of a core
 * @param leaving whether it is handing over its servers, because it is stopping or a more powerful host is available
 * @param round round of its claim to be the dispatcher of its zone; 0 if it does not dispatch. The highest round wins.
 * @param heldServers servers that a leaving dispatcher still uses
 * @param load load of its server pool
 * @param reportNumber differs for each report of the host; for a received report, the time of the sender's clock
 */
public record HostState(
        HostId host,
        ZoneId zone,
        long registration,
        long processorMillicores,
        boolean leaving,
        long round,
        Set<ServerId> heldServers,
        PoolLoad load,
        long reportNumber) {
    /** Creates a state whose report is not told apart from others of the same host. */
    public HostState(
            HostId host,
            ZoneId zone,
            long registration,
            long processorMillicores,
            boolean leaving,
            long round,
            Set<ServerId> heldServers,
            PoolLoad load) {
        this(host, zone, registration, processorMillicores, leaving, round, heldServers, load, 0);
    }

    /** Returns whether the host claims to be the dispatcher of its zone. */
    public boolean dispatching() {
        return round > 0;
    }

    /** Returns whether this host is the better dispatcher: the one with more processor capacity, then the older one. */
    public boolean isPreferredTo(HostState other) {
        return processorMillicores != other.processorMillicores
                ? processorMillicores > other.processorMillicores
                : registration < other.registration;
    }

    /** Returns whether the claim of this host supersedes that of another one. */
    public boolean claimSupersedes(HostState other) {
        return round != other.round ? round > other.round : registration > other.registration;
    }
}
