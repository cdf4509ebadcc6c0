package org.banyanspoke.core.ownership;

import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.StartPermission;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Decides which tasks the dispatcher of a zone may start while an operator takes the zone's servers out of use. Until
 * the state has been read once, nothing starts.
 */
public final class ZoneEvacuation {
    /** Time without a read that found no request. */
    public static final long NEVER = Long.MIN_VALUE;

    /** Share of its processor capacity that a server gets until it is at full speed again. */
    private static final int COLD_CAPACITY_DIVISOR = 2;

    private final long graceMillis;
    private final long lastStartMillis;
    private final MonotonicClock clock;
    private boolean known;
    private boolean requested;
    private boolean withdrawn;
    private long startsEndMillis;

    /**
     * @param graceMillis time after a request for which jobs with a started task may start their remaining tasks
     * @param lastStartMillis greatest time between a request and a start; limits the grace period if the request may
     *     have been made long before it was read
     * @param clock a clock that goes on while the machine is suspended
     */
    public ZoneEvacuation(long graceMillis, long lastStartMillis, MonotonicClock clock) {
        this.graceMillis = graceMillis;
        this.lastStartMillis = lastStartMillis;
        this.clock = clock;
    }

    /**
     * Sets the state that has been read. Repeated requests do not extend the grace period.
     *
     * @param isRequested whether an evacuation of the zone is requested
     * @param dispatching whether this host dispatches for the zone now; otherwise it has no jobs to finish, and there is
     *     no grace period
     * @param absentAtMillis time of the last read before this one, which found no request; {@link #NEVER} if there was
     *     none
     */
    public void update(boolean isRequested, boolean dispatching, long absentAtMillis) {
        if (isRequested && !requested) {
            startsEndMillis = dispatching && absentAtMillis != NEVER ? endOfGrace(absentAtMillis) : clock.millis();
        }
        withdrawn |= requested && !isRequested;
        requested = isRequested;
        known = true;
    }

    private long endOfGrace(long absentAtMillis) {
        return Math.min(clock.millis() + graceMillis, absentAtMillis + lastStartMillis);
    }

    /** Returns whether an evacuation of the zone is requested. */
    public boolean isRequested() {
        return requested;
    }

    /** Returns what may start now. */
    public StartPermission permission() {
        if (!known) {
            return StartPermission.NONE;
        }
        if (!requested) {
            return StartPermission.ALL_JOBS;
        }
        return clock.millis() < startsEndMillis ? StartPermission.STARTED_JOBS : StartPermission.NONE;
    }

    /** Returns a server with the capacity that may be used: after a withdrawal, half of it while the server is slow. */
    public ServerDescriptor usable(ServerDescriptor server) {
        return withdrawn && server.coldRemainingMillis() > 0
                ? server.withCpuMillicores(server.cpuMillicores() / COLD_CAPACITY_DIVISOR)
                : server;
    }
}
