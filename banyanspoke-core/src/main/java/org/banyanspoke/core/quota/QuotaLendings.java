package org.banyanspoke.core.quota;

import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.quota.internal.HalfUnusedLending;
import org.banyanspoke.core.time.MonotonicClock;

/** Creates quota lending state machines. */
public final class QuotaLendings {
    private QuotaLendings() {}

    /**
     * Returns a state machine that lends at most half of a host's recently unused even part and its whole unused
     * reserve; see {@link RosterShares}.
     *
     * @param self this entry host
     * @param clock times the loans
     * @param random chooses peers and request ids
     */
    public static QuotaLending halfOfUnused(HostId self, MonotonicClock clock, UniformRandomProvider random) {
        return new HalfUnusedLending(self, clock, random);
    }
}
