package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Single;

/** Queries the state of a backend server without sending it a task. */
@FunctionalInterface
public interface ServerCheck {
    /**
     * Sends one query.
     *
     * @param address {@code ip:port} of the server
     * @return the reported state; fails if the server does not respond
     */
    Single<ServerStatus> check(String address);

    /**
     * State that a server reports about itself.
     *
     * @param incarnation its process start; empty if not reported
     * @param leaving whether it reports that it is leaving
     */
    record ServerStatus(String incarnation, boolean leaving) {}
}
