package org.banyanspoke.core.ownership;

import java.util.Collection;

/**
 * Decides whether this host dispatches for its zone. A dispatcher stays one as long as it is heard and no host with much more
 * processor is there; then the strongest registered host of the zone follows, of equals the oldest. Two hosts may believe
 * themselves to be the dispatcher for a while: backend servers obey only the one with the higher token.
 */
public final class ZoneElection {
    /** A handover leaves each server idle for a moment, so a dispatcher hands over only to a host this many times as strong. */
    private static final double MUCH_STRONGER = 1.5;

    private ZoneElection() {}

    /**
     * Returns whether this host dispatches from now on.
     *
     * @param self this host
     * @param heard states of the hosts that have been heard lately
     */
    public static boolean dispatches(HostState self, Collection<HostState> heard) {
        if (self.registration() == 0 || self.leaving()) {
            return false;
        }
        HostState claimant = null;
        boolean first = true;
        for (HostState other : heard) {
            if (!other.zone().equals(self.zone()) || other.leaving()) {
                continue;
            }
            if (other.dispatching() && (claimant == null || other.claimsBefore(claimant))) {
                claimant = other;
            }
            first &= other.registration() == 0 || self.suitsBefore(other);
        }
        if (self.dispatching()) {
            return claimant == null || self.claimsBefore(claimant);
        }
        return claimant == null && first;
    }

    /**
     * Returns whether a dispatcher hands its servers over to a much stronger host of its zone.
     *
     * @param self this host
     * @param heard states of the hosts that have been heard lately
     */
    public static boolean handsOver(HostState self, Collection<HostState> heard) {
        for (HostState other : heard) {
            if (other.zone().equals(self.zone())
                    && !other.leaving()
                    && other.registration() != 0
                    && other.processorMillicores() >= MUCH_STRONGER * self.processorMillicores()) {
                return true;
            }
        }
        return false;
    }
}
