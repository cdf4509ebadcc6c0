package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Single;

/** Asks a backend server about itself without giving it work. */
@FunctionalInterface
public interface ServerCheck {
    /**
     * Asks once.
     *
     * @param address {@code ip:port} of the server
     * @return what the server says; fails if it does not respond
     */
    Single<Statement> check(String address);

    /**
     * What a server says about itself.
     *
     * @param incarnation its process; empty if it did not say
     * @param leaving whether it is leaving
     */
    record Statement(String incarnation, boolean leaving) {}
}
