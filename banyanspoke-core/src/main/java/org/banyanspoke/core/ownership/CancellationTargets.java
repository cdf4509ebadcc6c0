package org.banyanspoke.core.ownership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;

/**
 * Chooses the hosts that are asked to cancel a job that this host does not know. A job is either at a dispatcher or on
 * its way to one, or its caller's entry host holds it because there is no dispatcher.
 */
public final class CancellationTargets {
    private CancellationTargets() {}

    /**
     * Returns the dispatchers of all zones, all hosts of the own zone and of zones without a live dispatcher, and the
     * hosts whose zone is not known yet.
     *
     * @param own state of this host
     * @param liveStates states of the other hosts that are alive
     * @param hosts the other hosts that can be reached
     */
    public static Set<HostId> choose(HostState own, Collection<HostState> liveStates, Collection<HostId> hosts) {
        Map<HostId, HostState> states = new HashMap<>();
        Set<ZoneId> dispatchedZones = new HashSet<>();
        for (HostState each : liveStates) {
            states.put(each.host(), each);
            if (each.dispatching() && !each.leaving()) {
                dispatchedZones.add(each.zone());
            }
        }
        Set<HostId> targets = new HashSet<>();
        for (HostId host : hosts) {
            HostState state = states.get(host);
            if (state == null
                    || state.dispatching()
                    || state.zone().equals(own.zone())
                    || !dispatchedZones.contains(state.zone())) {
                targets.add(host);
            }
        }
        return targets;
    }
}
