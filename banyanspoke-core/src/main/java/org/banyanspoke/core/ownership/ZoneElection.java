package org.banyanspoke.core.ownership;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;

/**
 * Elects the dispatcher of a zone. A dispatcher keeps its role while it is alive and no host has much more processor
 * capacity; its successor is the registered host of the zone with the most processor capacity, the oldest one on a tie.
 * Two hosts may act as dispatcher for a short time: backend servers accept commands only from the one with the higher
 * fencing token.
 */
public final class ZoneElection {
    /** Minimum capacity ratio for a handover; each server is briefly idle during one. */
    private static final double HANDOVER_CAPACITY_RATIO = 1.5;

    /** Time after its registration for which a host waits for the states of hosts that may be gone. */
    private static final long MAX_WAIT_FOR_STATES_MILLIS = 300;

    private ZoneElection() {}

    /**
     * Returns whether a host knows enough about the others to take part in the election: it has heard from every host on
     * the host list and all of its zone are registered, or it has waited long enough for those that may be gone. After a
     * loss of all hosts the first case saves most of the wait.
     *
     * @param self state of this host
     * @param knownHosts the other hosts on the host list; empty if the list has not been read or names no other
     * @param liveHosts states of the other hosts that are alive
     * @param sinceRegistrationMillis time since this host was registered
     */
    public static boolean isInformed(
            HostState self, Set<HostId> knownHosts, Collection<HostState> liveHosts, long sinceRegistrationMillis) {
        if (sinceRegistrationMillis >= MAX_WAIT_FOR_STATES_MILLIS) {
            return true;
        }
        Set<HostId> unheard = new HashSet<>(knownHosts);
        for (HostState other : liveHosts) {
            if (other.zone().equals(self.zone()) && !other.leaving() && other.registration() == 0) {
                return false;
            }
            unheard.remove(other.host());
        }
        return !knownHosts.isEmpty() && unheard.isEmpty();
    }

    /**
     * Returns whether this host should be the dispatcher of its zone.
     *
     * @param self state of this host
     * @param liveHosts states of the other hosts that are alive
     */
    public static boolean shouldDispatch(HostState self, Collection<HostState> liveHosts) {
        if (self.registration() == 0 || self.leaving()) {
            return false;
        }
        HostState currentDispatcher = null;
        boolean preferred = true;
        for (HostState other : liveHosts) {
            if (!other.zone().equals(self.zone()) || other.leaving()) {
                continue;
            }
            if (other.dispatching() && (currentDispatcher == null || other.claimSupersedes(currentDispatcher))) {
                currentDispatcher = other;
            }
            preferred &= other.registration() == 0 || self.isPreferredTo(other);
        }
        if (self.dispatching()) {
            return currentDispatcher == null || self.claimSupersedes(currentDispatcher);
        }
        return currentDispatcher == null && preferred;
    }

    /**
     * Returns whether a dispatcher should hand its servers over to a host of its zone with much more processor
     * capacity.
     *
     * @param self state of this host
     * @param liveHosts states of the other hosts that are alive
     */
    public static boolean shouldHandOver(HostState self, Collection<HostState> liveHosts) {
        for (HostState other : liveHosts) {
            if (other.zone().equals(self.zone())
                    && !other.leaving()
                    && other.registration() != 0
                    && other.processorMillicores() >= HANDOVER_CAPACITY_RATIO * self.processorMillicores()) {
                return true;
            }
        }
        return false;
    }
}
