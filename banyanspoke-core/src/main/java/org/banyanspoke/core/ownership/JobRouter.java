package org.banyanspoke.core.ownership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;

/**
 * Chooses the dispatcher of a job: the own zone's while it has room, else the one that is expected to begin soonest. Loads
 * are some 100 ms old, so what was sent since is added.
 */
public final class JobRouter {
    /** A job leaves its zone only if it gains this much, which is more than the way costs. */
    private static final double WAY_MILLIS = 15;

    private final ZoneId ownZone;
    private final Map<HostId, Sent> sentSince = new HashMap<>();

    /** Work sent to a dispatcher since it last told its load. */
    private static final class Sent {
        private long millicores;
        private PoolLoad toldBefore;
    }

    /**
     * @param ownZone the zone of this host
     */
    public JobRouter(ZoneId ownZone) {
        this.ownZone = ownZone;
    }

    /** Returns the dispatcher to send a job to; empty if there is none with servers. */
    public Optional<HostState> choose(PooledJob job, Collection<HostState> dispatchers) {
        return choose(job, dispatchers, Double.POSITIVE_INFINITY);
    }

    /** Returns the dispatcher to send a job to; empty if none is expected to begin while the end is of use. */
    public Optional<HostState> chooseInTime(PooledJob job, Collection<HostState> dispatchers) {
        return choose(job, dispatchers, job.usefulMillis() - job.ageMillis() - job.shortestMillis());
    }

    private Optional<HostState> choose(PooledJob job, Collection<HostState> dispatchers, double longestWaitMillis) {
        HostState best = null;
        double bestMillis = 0;
        for (HostState each : dispatchers) {
            if (!each.dispatching() || each.leaving() || each.load().capacityMillicores() == 0) {
                continue;
            }
            double millis = expectedWaitMillis(job, each) + (each.zone().equals(ownZone) ? 0 : WAY_MILLIS);
            if (millis <= longestWaitMillis && (best == null || millis < bestMillis)) {
                best = each;
                bestMillis = millis;
            }
        }
        if (best != null) {
            sent(best).millicores += neededMillicores(job);
        }
        return Optional.ofNullable(best);
    }

    /** Returns how long the last task of a job waits for room. Full servers free their room at the pace of what runs there. */
    private double expectedWaitMillis(PooledJob job, HostState dispatcher) {
        PoolLoad load = dispatcher.load();
        long needed = load.queuedMillicores() + sent(dispatcher).millicores + neededMillicores(job);
        long missing = Math.max(0, needed - load.freeMillicores());
        long runMillis = Math.max(load.runMillis(), job.shape().estimateMillis());
        return (double) missing * runMillis / load.capacityMillicores();
    }

    private Sent sent(HostState dispatcher) {
        Sent sent = sentSince.computeIfAbsent(dispatcher.host(), key -> new Sent());
        if (!dispatcher.load().equals(sent.toldBefore)) {
            sent.toldBefore = dispatcher.load();
            sent.millicores = 0;
        }
        return sent;
    }

    private static long neededMillicores(PooledJob job) {
        return (long) job.tasks() * job.shape().cpuMillicores();
    }
}
