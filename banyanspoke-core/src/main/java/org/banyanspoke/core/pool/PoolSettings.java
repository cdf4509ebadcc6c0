package org.banyanspoke.core.pool;

/**
 * Timing settings and run time factors of a server pool.
 *
 * @param leaseMillis maximum lease that a server grants
 * @param remoteRackFactor factor on the run time of a task that runs outside the rack of its data
 * @param commandTimeoutMillis timeout for the reply to a start or stop; many times the round-trip time
 * @param renewWaitMillis how long a server may hold a renewal until a run ends; a fraction of the lease, so that a lost
 *     reply does not let the lease expire
 * @param contactValidityMillis time after the last contact with a job's caller within which its runs end, unless there
 *     is contact again; less than the time after which a caller sends the job elsewhere
 */
public record PoolSettings(
        long leaseMillis,
        double remoteRackFactor,
        long commandTimeoutMillis,
        long renewWaitMillis,
        long contactValidityMillis) {
    /** Allows for server clocks that run up to 2% slow and for the latency of replies. */
    private static final double LEASE_MARGIN_FACTOR = 1.04;

    private static final long LEASE_MARGIN_MILLIS = 100;
    /** Leaves time for a second check before tasks no longer start. */
    private static final int CONTACT_CHECKS_PER_VALIDITY = 5;
    /** Tasks start in the first half of the validity of the contact, so that the first lease can be renewed in time. */
    private static final int START_CONTACT_DIVISOR = 2;

    /** Returns the time since the last command with a deadline after which no run is left on an unreachable server. */
    public long leaseExpiryMillis() {
        return (long) (leaseMillis * LEASE_MARGIN_FACTOR) + LEASE_MARGIN_MILLIS;
    }

    /** Returns the longest lease of a run, which is also the longest time after which a start command takes effect. */
    public long maxRunLeaseMillis() {
        return Math.min(leaseMillis, contactValidityMillis);
    }

    /** Returns the greatest age of the contact with a job's caller with which tasks of the job are started. */
    public long maxContactAgeAtStartMillis() {
        return contactValidityMillis / START_CONTACT_DIVISOR;
    }

    /** Returns the age at which the contact with a job's caller is checked. */
    public long contactCheckAgeMillis() {
        return contactValidityMillis / CONTACT_CHECKS_PER_VALIDITY;
    }
}
