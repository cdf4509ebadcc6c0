package org.banyanspoke.peer;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;

/**
 * Who speaks on a connection.
 *
 * @param host the entry host
 * @param incarnation its process start
 * @param address {@code ip:port} on which it accepts peers
 */
public record PeerIdentity(HostId host, Incarnation incarnation, String address) {}
