package org.banyanspoke.standins.hostlist;

/**
 * Injected faults of the host list.
 *
 * @param lagMillis delay until a change is visible to readers, in milliseconds
 * @param outage whether connections are closed without a response
 * @param entityTags whether responses carry {@code ETag} and {@code If-None-Match} is evaluated
 */
public record HostListOptions(long lagMillis, boolean outage, boolean entityTags) {
    /** A lag of 2 s, no outage and entity tags. */
    public static final HostListOptions DEFAULT = new HostListOptions(2_000, false, true);
}
