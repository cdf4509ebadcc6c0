package org.banyanspoke.core.ownership;

import java.util.Collection;

/**
 * Elects the dispatcher of a zone. A dispatcher keeps its role while it is alive and no host has much more processor
 * capacity; its successor is the registered host of the zone with the most processor capacity, the oldest one on a tie.
 * Two hosts may act as dispatcher for a short time: backend servers accept commands only from the one with the higher
 * fencing token.
 */
public final class ZoneElection {
    /** Minimum capacity ratio for a handover; each server is briefly idle during one. */
    private static final double HANDOVER_CAPACITY_RATIO = 1.5;

    private ZoneElection() {}

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
