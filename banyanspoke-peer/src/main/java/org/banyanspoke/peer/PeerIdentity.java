package org.banyanspoke.peer;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;

/**
 * Identity of a process at one end of a connection.
 *
 * @param host the entry host
 * @param incarnation incarnation of its process
 * @param address {@code ip:port} on which it accepts connections
 */
public record PeerIdentity(HostId host, Incarnation incarnation, String address) {}
