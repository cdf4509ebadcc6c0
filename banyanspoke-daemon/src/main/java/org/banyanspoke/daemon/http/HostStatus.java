package org.banyanspoke.daemon.http;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;

/** Identity and state of this host, and its shutdown, as used by the HTTP routes. */
public interface HostStatus {
    HostId host();

    /** Returns the availability zone of this host. */
    ZoneId zone();

    /** Returns the incarnation of this process, which is new at each start. */
    Incarnation incarnation();

    /** Returns whether the host has a confirmed configuration and is not draining. */
    boolean ready();

    /** Returns whether a graceful shutdown was requested. */
    boolean draining();

    /** Starts the graceful shutdown and returns without waiting for it. */
    void requestDrain();
}
