package org.banyanspoke.core.routing.internal;

import org.banyanspoke.core.schedule.SlotClaim;

/**
 * Remembers for which claims no server had room, so that the other batches that wait need no look at every server. A
 * refusal holds until a result or a change of the servers, and at most 1 ms, because load reports get old.
 */
final class NoCapacityCache {
    private static final long HOLD_NANOS = 1_000_000;

    private final boolean[] refused = new boolean[SlotClaim.values().length];
    private final long[] atNanos = new long[SlotClaim.values().length];

    void add(SlotClaim claim, long nowNanos) {
        refused[claim.ordinal()] = true;
        atNanos[claim.ordinal()] = nowNanos;
    }

    boolean contains(SlotClaim claim, long nowNanos) {
        return refused[claim.ordinal()] && nowNanos - atNanos[claim.ordinal()] < HOLD_NANOS;
    }

    void clear() {
        for (int i = 0; i < refused.length; i++) {
            refused[i] = false;
        }
    }
}
