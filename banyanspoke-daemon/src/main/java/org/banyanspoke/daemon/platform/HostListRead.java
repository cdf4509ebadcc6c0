package org.banyanspoke.daemon.platform;

import java.util.List;

/**
 * Result of reading the host list.
 *
 * @param hosts all listed hosts
 * @param bodyBytes size of the response body; 0 if the platform reported the list as unchanged
 */
public record HostListRead(List<ListedHost> hosts, long bodyBytes) {
    /** Makes a defensive copy of the list. */
    public HostListRead {
        hosts = List.copyOf(hosts);
    }
}
