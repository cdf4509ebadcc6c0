package org.banyanspoke.core.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.routing.internal.AdaptiveServerPool;
import org.banyanspoke.core.routing.internal.AdaptiveWindow;
import org.banyanspoke.core.routing.internal.FailureOutlierDetector;
import org.banyanspoke.core.routing.internal.LeastExpectedCompletion;
import org.banyanspoke.core.routing.internal.RendezvousAssignment;
import org.banyanspoke.core.time.MonotonicClock;

/** Creates server pools. */
public final class ServerPools {
    private ServerPools() {}

    /**
     * Returns a pool that learns windows, speeds and failures of the servers from their answers.
     *
     * @param self this entry host; it uses only servers that the roster assigns to it
     * @param clock times ejections and load reports
     * @param random breaks ties
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
