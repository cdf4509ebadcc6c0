package org.banyanspoke.api.config;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;

/**
 * An entry host in the accepted configuration.
 *
 * @param id the host
 * @param zone its availability zone
 * @param peerAddress {@code ip:port} that it listens on for the peer protocol
 */
public record EntryHostConfig(HostId id, ZoneId zone, String peerAddress) {}
