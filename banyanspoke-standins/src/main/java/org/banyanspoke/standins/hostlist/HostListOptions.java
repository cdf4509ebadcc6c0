package org.banyanspoke.standins.hostlist;

/**
 * Faults of the host list.
 *
 * @param lagMillis age of the view that readers get in milliseconds
 * @param outage whether connections are closed without an answer
 * @param entityTags whether responses carry {@code ETag} and {@code If-None-Match} is respected
 */
public record HostListOptions(long lagMillis, boolean outage, boolean entityTags) {
    /** A lag of 2 s, no outage and entity tags. */
    public static final HostListOptions DEFAULT = new HostListOptions(2_000, false, true);
}
