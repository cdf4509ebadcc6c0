package org.banyanspoke.core.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.routing.internal.AdaptiveServerPool;
import org.banyanspoke.core.routing.internal.AdaptiveWindow;
import org.banyanspoke.core.routing.internal.FailureOutlierDetector;
import org.banyanspoke.core.routing.internal.LeastExpectedCompletion;
import org.banyanspoke.core.routing.internal.RendezvousAssignment;
import org.banyanspoke.core.time.MonotonicClock;

/** Factory for server pools. */
public final class ServerPools {
    private ServerPools() {}

    /**
     * Returns a pool that learns windows, speeds and failures of the servers from their responses.
     *
     * @param self this entry host; the pool contains only servers assigned to it
     * @param clock clock for the expiry of ejections and load reports
     * @param random source for tie breaking
     */
    public static ServerPool adaptive(HostId self, MonotonicClock clock, UniformRandomProvider random) {
        return new AdaptiveServerPool(
                self,
                clock,
                new AdaptiveWindow(),
                new LeastExpectedCompletion(random),
                new FailureOutlierDetector(),
                new RendezvousAssignment());
    }
}
