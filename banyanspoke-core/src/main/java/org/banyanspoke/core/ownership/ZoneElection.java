package org.banyanspoke.core.ownership;

import java.util.Collection;

/**
 * Decides whether this host dispatches for its zone. A dispatcher stays one as long as it is heard; then the oldest
 * registered host of the zone follows. Two hosts may believe themselves to be the dispatcher for a while: backend servers obey
 * only the one with the higher token.
 */
public final class ZoneElection {
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
        boolean oldest = true;
        for (HostState other : heard) {
            if (!other.zone().equals(self.zone()) || other.leaving()) {
                continue;
            }
            if (other.dispatching() && (claimant == null || other.claimsBefore(claimant))) {
                claimant = other;
            }
            oldest &= other.registration() == 0 || self.registration() < other.registration();
        }
        if (self.dispatching()) {
            return claimant == null || self.claimsBefore(claimant);
        }
        return claimant == null && oldest;
    }
}
