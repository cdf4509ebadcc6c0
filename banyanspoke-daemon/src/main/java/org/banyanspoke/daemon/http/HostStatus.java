package org.banyanspoke.daemon.http;

import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;

/** This host as operators see it. */
public interface HostStatus {
    /** Returns this host. */
    HostId host();

    /** Returns its availability zone. */
    ZoneId zone();

    /** Returns this process start. */
    Incarnation incarnation();

    /** Returns whether the host has a confirmed configuration and does not drain. */
    boolean ready();

    /** Returns whether the planned stop was requested. */
    boolean draining();

    /** Starts the planned stop. Returns at once. */
    void requestDrain();
}
