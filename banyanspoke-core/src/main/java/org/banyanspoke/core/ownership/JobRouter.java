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
 * Chooses the dispatcher for a job: the one of this host's zone while it has free capacity, otherwise the one with the
 * shortest expected wait. Reported loads are about 100 ms old, so work sent since the last report is added.
 */
public final class JobRouter {
    /** Minimum reduction of the wait for which a job is sent to another zone; exceeds the network latency. */
    private static final double CROSS_ZONE_COST_MILLIS = 15;

    private final ZoneId ownZone;
    private final Map<HostId, UnreportedWork> unreportedByHost = new HashMap<>();

    /** Work sent to a dispatcher since its last load report. */
    private static final class UnreportedWork {
        private long millicores;
        private long reportNumber;
    }

    /**
     * @param ownZone zone of this host
     */
    public JobRouter(ZoneId ownZone) {
        this.ownZone = ownZone;
    }

    /** Returns the dispatcher to send a job to; empty if no dispatcher has servers. */
    public Optional<HostState> choose(PooledJob job, Collection<HostState> dispatchers) {
        return choose(job, dispatchers, Double.POSITIVE_INFINITY);
    }

    /** Returns the dispatcher to send a job to; empty if none is expected to finish the job before its expiry. */
    public Optional<HostState> chooseBeforeExpiry(PooledJob job, Collection<HostState> dispatchers) {
        return choose(job, dispatchers, job.expiryMillis() - job.ageMillis() - job.minRunMillis());
    }

    private Optional<HostState> choose(PooledJob job, Collection<HostState> dispatchers, double maxWaitMillis) {
        HostState best = null;
        double bestMillis = 0;
        for (HostState each : dispatchers) {
            if (!each.dispatching() || each.leaving() || each.load().capacityMillicores() == 0) {
                continue;
            }
            double millis = expectedWaitMillis(job, each) + (each.zone().equals(ownZone) ? 0 : CROSS_ZONE_COST_MILLIS);
            if (millis <= maxWaitMillis && (best == null || millis < bestMillis)) {
                best = each;
                bestMillis = millis;
            }
        }
        if (best != null) {
            unreportedWork(best).millicores += requiredMillicores(job);
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the expected wait of the last task of a job. Busy servers free capacity at the rate at which runs end.
     */
    private double expectedWaitMillis(PooledJob job, HostState dispatcher) {
        PoolLoad load = dispatcher.load();
        long requiredMillicores =
                load.queuedMillicores() + unreportedWork(dispatcher).millicores + requiredMillicores(job);
        long missingMillicores = Math.max(0, requiredMillicores - load.freeMillicores());
        long runMillis = Math.max(load.meanRunMillis(), job.requirements().estimateMillis());
        return (double) missingMillicores * runMillis / load.capacityMillicores();
    }

    private UnreportedWork unreportedWork(HostState dispatcher) {
        UnreportedWork unreported = unreportedByHost.computeIfAbsent(dispatcher.host(), key -> new UnreportedWork());
        if (dispatcher.reportNumber() != unreported.reportNumber) {
            unreported.reportNumber = dispatcher.reportNumber();
            unreported.millicores = 0;
        }
        return unreported;
    }

    private static long requiredMillicores(PooledJob job) {
        return (long) job.tasks() * job.requirements().cpuMillicores();
    }
}
