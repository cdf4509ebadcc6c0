package org.banyanspoke.daemon.platform;

import java.util.List;

/**
 * The host list after one read.
 *
 * @param hosts all hosts of the list
 * @param bodyBytes size of the response body; 0 if the platform said that the list has not changed
 */
public record HostListRead(List<ListedHost> hosts, long bodyBytes) {
    /** Copies the list. */
    public HostListRead {
        hosts = List.copyOf(hosts);
    }
}
