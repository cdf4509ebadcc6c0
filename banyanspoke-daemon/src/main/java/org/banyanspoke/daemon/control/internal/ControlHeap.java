package org.banyanspoke.daemon.control.internal;

import org.banyanspoke.core.config.ConfigState;

/** Estimates the heap usage of the control state from object counts; sizes per object as in docs/CAPACITY.md. */
public final class ControlHeap {
    private static final long MEMBER_BYTES = 200;
    private static final long SERVER_BYTES = 400;
    private static final long HOST_BYTES = 150;
    private static final long TEAM_BYTES = 300;
    private static final long BATCH_BYTES = 300;
    private static final long TICKET_BYTES = 2_000;

    private ControlHeap() {}

    /** Returns the estimate in bytes. */
    public static long estimate(ConfigState config, int members, int tickets) {
        return members * MEMBER_BYTES
                + config.servers().size() * SERVER_BYTES
                + config.hosts().size() * HOST_BYTES
                + config.teams().size() * TEAM_BYTES
                + config.batches().size() * BATCH_BYTES
                + tickets * TICKET_BYTES;
    }
}
