package org.banyanspoke.api.config;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;

/**
 * An entry host of the accepted roster.
 *
 * @param id the host
 * @param zone its availability zone
 * @param peerAddress {@code ip:port} of its peer protocol
 */
public record EntryHostConfig(HostId id, ZoneId zone, String peerAddress) {}
