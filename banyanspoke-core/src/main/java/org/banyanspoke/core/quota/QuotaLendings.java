package org.banyanspoke.core.quota;

import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.quota.internal.UnusedQuotaLending;
import org.banyanspoke.core.time.MonotonicClock;

/** Factory for quota lending state machines. */
public final class QuotaLendings {
    private QuotaLendings() {}

    /**
     * Returns a state machine that lends at most half of the unused equal share of this host and its entire unused
     * reserve; see {@link QuotaAllocator}.
     *
     * @param self this entry host
     * @param clock clock for loan expiry
     * @param random source for the choice of peers and for request ids
     */
    public static QuotaLending halfOfUnused(HostId self, MonotonicClock clock, UniformRandomProvider random) {
        return new UnusedQuotaLending(self, clock, random);
    }
}
