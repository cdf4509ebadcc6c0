package org.banyanspoke.core.pool;

/**
 * Times of a server pool.
 *
 * @param leaseMillis longest lease that a server grants
 * @param farFactor how much longer a task takes away from the rack of its data
 * @param orderTimeoutMillis limit for the answer to a start or stop; many times a round trip
 * @param renewWaitMillis how long a renewal waits for an end; a fraction of the lease, so that lost answers cost none
 */
public record PoolLimits(long leaseMillis, double farFactor, long orderTimeoutMillis, long renewWaitMillis) {
    /** Server clocks may be 2% slow, and answers take time. */
    private static final double LEASE_MARGIN = 1.04;

    private static final long LEASE_MARGIN_MILLIS = 100;

    /** Returns the time after the last order with a deadline at which nothing runs on a server that is out of reach. */
    public long goneMillis() {
        return (long) (leaseMillis * LEASE_MARGIN) + LEASE_MARGIN_MILLIS;
    }
}
