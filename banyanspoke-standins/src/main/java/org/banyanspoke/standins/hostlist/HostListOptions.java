package org.banyanspoke.standins.hostlist;

/**
 * Faults of the host list.
 *
 * @param lagMillis age of the view that readers get in milliseconds
 * @param outage whether connections are closed without an answer
 */
public record HostListOptions(long lagMillis, boolean outage) {
    /** A lag of 2 s and no outage. */
    public static final HostListOptions DEFAULT = new HostListOptions(2_000, false);
}
