package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.schedule.SlotAccess;

/**
 * Negative cache of claims for which no server had capacity. It saves scanning all servers for each waiting batch.
 * Entries are valid until a result or a change of the servers, and at most 1 ms because load reports expire.
 */
final class NoCapacityCache {
    private static final long TTL_NANOS = 1_000_000;

    private final boolean[] noCapacity = new boolean[SlotAccess.values().length];
    private final long[] addedNanos = new long[SlotAccess.values().length];

    void add(SlotAccess claim, long nowNanos) {
        noCapacity[claim.ordinal()] = true;
        addedNanos[claim.ordinal()] = nowNanos;
    }

    boolean contains(SlotAccess claim, long nowNanos) {
        return noCapacity[claim.ordinal()] && nowNanos - addedNanos[claim.ordinal()] < TTL_NANOS;
    }

    void clear() {
        for (int i = 0; i < noCapacity.length; i++) {
            noCapacity[i] = false;
        }
    }
}
