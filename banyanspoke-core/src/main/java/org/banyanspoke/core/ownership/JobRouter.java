package org.banyanspoke.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;

/**
 * Chooses the dispatcher for a job: the one of this host's zone while the job fits there, otherwise one of those where
 * it fits, at random weighted by free slots, otherwise the one with the shortest expected wait. Reported loads are 100
 * to 200 ms old, so work sent since the last report is added, and the random choice keeps the hosts of a zone from
 * choosing the same dispatcher.
 */
public final class JobRouter {
    /** Minimum reduction of the wait for which a job is sent to another zone; exceeds the network latency. */
    private static final double CROSS_ZONE_COST_MILLIS = 15;

    private final ZoneId ownZone;
    private final RandomGenerator random;
    private final Map<HostId, UnreportedWork> unreportedByHost = new HashMap<>();

    /** Work sent to a dispatcher since its last load report. */
    private static final class UnreportedWork {
        /** Sum over the sent tasks of the share of the pool that each occupies. */
        private double poolShare;

        private long reportNumber;
    }

    /**
     * Dispatcher as seen by one job.
     *
     * @param unusedSlots free slots of the job's size that are left after the work before it and the job itself;
     *     negative if the job does not fit
     * @param costMillis expected wait of the last task and the cost of another zone
     */
    private record Candidate(HostState dispatcher, boolean inOwnZone, double unusedSlots, double costMillis) {
        private boolean fits() {
            return unusedSlots >= 0;
        }
    }

    /**
     * @param ownZone zone of this host
     * @param random source of the choice among zones where a job fits
     */
    public JobRouter(ZoneId ownZone, RandomGenerator random) {
        this.ownZone = ownZone;
        this.random = random;
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
        List<Candidate> candidates = new ArrayList<>();
        for (HostState each : dispatchers) {
            if (each.dispatching() && !each.leaving() && each.load().capacityMillicores() > 0) {
                Candidate candidate = candidate(job, each);
                if (candidate.costMillis() <= maxWaitMillis) {
                    candidates.add(candidate);
                }
            }
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        HostState chosen = choose(candidates).dispatcher();
        unreportedWork(chosen).poolShare += poolShare(job, chosen.load());
        return Optional.of(chosen);
    }

    private Candidate candidate(PooledJob job, HostState dispatcher) {
        PoolLoad load = dispatcher.load();
        boolean inOwnZone = dispatcher.zone().equals(ownZone);
        int size = job.requirements().cpuMillicores();
        double totalSlots = load.totalSlots(size);
        if (totalSlots <= 0) {
            return new Candidate(dispatcher, inOwnZone, -job.tasks(), Double.POSITIVE_INFINITY);
        }
        double shareBefore =
                (double) load.queuedMillicoresBefore(job.queuePolicy().priority()) / load.capacityMillicores()
                        + unreportedWork(dispatcher).poolShare;
        double unusedSlots = load.freeSlots(size) - shareBefore * totalSlots - job.tasks();
        // Busy servers free slots at the rate at which runs end.
        long runMillis = Math.max(load.meanRunMillis(), job.requirements().estimateMillis());
        double waitMillis = Math.max(0, -unusedSlots) / totalSlots * runMillis;
        return new Candidate(dispatcher, inOwnZone, unusedSlots, waitMillis + (inOwnZone ? 0 : CROSS_ZONE_COST_MILLIS));
    }

    private Candidate choose(List<Candidate> candidates) {
        Candidate best = candidates.get(0);
        List<Candidate> fitting = new ArrayList<>();
        for (Candidate each : candidates) {
            if (each.fits()) {
                fitting.add(each);
            }
            if (each.costMillis() < best.costMillis()
                    || (each.costMillis() == best.costMillis() && each.inOwnZone() && !best.inOwnZone())) {
                best = each;
            }
        }
        return best.inOwnZone() || fitting.isEmpty() ? best : chooseByFreeSlots(fitting);
    }

    /** The slots that the job itself takes count too, so each candidate has a positive weight. */
    private Candidate chooseByFreeSlots(List<Candidate> fitting) {
        double sum = 0;
        for (Candidate each : fitting) {
            sum += 1 + each.unusedSlots();
        }
        double remaining = random.nextDouble() * sum;
        for (Candidate each : fitting) {
            remaining -= 1 + each.unusedSlots();
            if (remaining < 0) {
                return each;
            }
        }
        return fitting.get(fitting.size() - 1);
    }

    private UnreportedWork unreportedWork(HostState dispatcher) {
        UnreportedWork unreported = unreportedByHost.computeIfAbsent(dispatcher.host(), key -> new UnreportedWork());
        if (dispatcher.reportNumber() != unreported.reportNumber) {
            unreported.reportNumber = dispatcher.reportNumber();
            unreported.poolShare = 0;
        }
        return unreported;
    }

    private static double poolShare(PooledJob job, PoolLoad load) {
        double totalSlots = load.totalSlots(job.requirements().cpuMillicores());
        return totalSlots <= 0 ? 0 : job.tasks() / totalSlots;
    }
}
