package org.banyanspoke.core.routing;

import org.banyanspoke.api.ids.ServerId;

/** What a selector knows about a backend server that has room. */
public interface ServerCandidate {
    /** Returns the server. */
    ServerId id();

    /** Returns tasks that the server executes at once. */
    int slots();

    /** Returns the requests of all hosts that the server is believed to have. */
    double expectedLoad();

    /** Returns the learned run time relative to the declared one. */
    double runTimeRatio();

    /** Returns the network round trip to the server in nanoseconds. */
    long roundTripNanos();
}
