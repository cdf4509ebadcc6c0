package org.banyanspoke.core.routing;

import org.banyanspoke.api.ids.ServerId;

/** Backend server with free capacity, as seen by a {@link ServerSelector}. */
public interface ServerCandidate {
    ServerId id();

    /** Returns the number of tasks that the server runs concurrently. */
    int slots();

    /** Returns the estimated number of requests of all hosts at the server. */
    double expectedLoad();

    /** Returns the learned ratio of measured to declared run time. */
    double runTimeRatio();

    /** Returns the network round-trip time to the server. */
    long roundTripNanos();
}
