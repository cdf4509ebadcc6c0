package org.banyanspoke.core.identity;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;

/**
 * The process that issues job ids.
 *
 * @param host the entry host
 * @param peerAddress {@code ip:port} on which it serves the peer protocol
 * @param incarnation identifies this start of the process
 */
public record ProcessIdentity(HostId host, String peerAddress, Incarnation incarnation) {}
