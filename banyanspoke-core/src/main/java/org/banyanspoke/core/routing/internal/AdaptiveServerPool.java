package org.banyanspoke.core.routing.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.DispatcherStats;
import org.banyanspoke.core.routing.ConcurrencyWindow;
import org.banyanspoke.core.routing.OutlierDetector;
import org.banyanspoke.core.routing.ServerCandidate;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.routing.ServerSelector;
import org.banyanspoke.core.routing.SubsetAssignment;
import org.banyanspoke.core.schedule.SlotAccess;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Server pool that learns windows, speeds and failures. Selection is on the hot path: it takes O(servers of this host)
 * and uses no streams.
 */
public final class AdaptiveServerPool implements ServerPool {
    /** Fraction of the promise that the run time of a task may take; the rest is left for queueing. */
    private static final double MAX_RUN_TIME_FRACTION = 0.5;

    private final HostId self;
    private final MonotonicClock clock;
    private final ConcurrencyWindow concurrencyWindow;
    private final ServerSelector selector;
    private final OutlierDetector outlierDetector;
    private final SubsetAssignment assignment;
    /** Sorted, so that tie breaking between equal servers is reproducible for a seed. */
    private final Map<ServerId, PooledServer> servers = new TreeMap<>(Comparator.comparing(ServerId::value));

    private final Map<BatchId, EligibleServers> eligibleByBatch = new HashMap<>();
    private final List<PooledServer> available = new ArrayList<>();
    private final NoCapacityCache noCapacityCache = new NoCapacityCache();
    private Set<ServerId> leaving = Set.of();

    /** Servers that the configuration allows for a batch. */
    private record EligibleServers(BatchConfig batch, List<PooledServer> servers) {}

    /** Creates a pool without servers. */
    public AdaptiveServerPool(
            HostId self,
            MonotonicClock clock,
            ConcurrencyWindow concurrencyWindow,
            ServerSelector selector,
            OutlierDetector outlierDetector,
            SubsetAssignment assignment) {
        this.self = self;
        this.clock = clock;
        this.concurrencyWindow = concurrencyWindow;
        this.selector = selector;
        this.outlierDetector = outlierDetector;
        this.assignment = assignment;
    }

    @Override
    public void configure(ConfigState config) {
        eligibleByBatch.clear();
        noCapacityCache.clear();
        servers.keySet().retainAll(config.servers().keySet());
        for (BackendServerConfig server : config.servers().values()) {
            configureServer(config, server);
        }
        setLeaving(leaving);
    }

    private void configureServer(ConfigState config, BackendServerConfig server) {
        if (config.hosts().isEmpty()) {
            getOrCreate(server.id()).configure(server, true, 1);
            return;
        }
        List<HostId> assignedHosts =
                assignment.assignedHosts(server, config.hosts().values());
        if (!assignedHosts.contains(self)) {
            servers.remove(server.id());
            return;
        }
        EntryHostConfig host = config.hosts().get(self);
        getOrCreate(server.id()).configure(server, host.zone().equals(server.zone()), assignedHosts.size());
    }

    private PooledServer getOrCreate(ServerId id) {
        return servers.computeIfAbsent(id, unused -> new PooledServer(concurrencyWindow, outlierDetector));
    }

    @Override
    public void setLeaving(Set<ServerId> newLeaving) {
        leaving = Set.copyOf(newLeaving);
        noCapacityCache.clear();
        for (PooledServer server : servers.values()) {
            server.setLeavingExternally(leaving.contains(server.id()));
        }
    }

    @Override
    public boolean hasEligible(BatchConfig batch) {
        for (PooledServer server : eligible(batch)) {
            if (!server.isLeaving()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public Optional<ServerId> select(BatchConfig batch, TaskSpec task, SlotAccess claim) {
        long nowNanos = clock.nanos();
        if (noCapacityCache.contains(claim, nowNanos)) {
            return Optional.empty();
        }
        List<PooledServer> candidates = eligible(batch);
        findAvailable(candidates, claim, nowNanos);
        if (available.isEmpty() && candidates.size() == servers.size()) {
            noCapacityCache.add(claim, nowNanos);
        }
        return available.isEmpty() ? Optional.empty() : selectAvailable(batch, task, candidates, nowNanos);
    }

    private void findAvailable(List<PooledServer> candidates, SlotAccess claim, long nowNanos) {
        available.clear();
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.get(i).hasCapacity(nowNanos, claim)) {
                available.add(candidates.get(i));
            }
        }
    }

    private Optional<ServerId> selectAvailable(
            BatchConfig batch, TaskSpec task, List<PooledServer> candidates, long nowNanos) {
        double maxRunNanos = maxRunTimeNanos(batch, candidates);
        available.removeIf(
                server -> !server.admits(nowNanos, task.idempotent()) || !server.completesWithin(maxRunNanos));
        return selector.select(available, task).map(ServerCandidate::id);
    }

    /**
     * Returns the upper limit of the 95th percentile run time of servers for the batch. Slower servers are left to
     * batches with longer promises, unless fewer than half of the candidates would remain.
     */
    private static double maxRunTimeNanos(BatchConfig batch, List<PooledServer> candidates) {
        double maxRunNanos = batch.promiseMillis() * 1e6 * MAX_RUN_TIME_FRACTION;
        int fastServers = 0;
        for (int i = 0; i < candidates.size(); i++) {
            PooledServer server = candidates.get(i);
            fastServers += !server.isLeaving() && server.completesWithin(maxRunNanos) ? 1 : 0;
        }
        return 2 * fastServers >= candidates.size() ? maxRunNanos : Double.MAX_VALUE;
    }

    @Override
    public void onSent(ServerId server, TaskSpec task) {
        PooledServer pooled = servers.get(server);
        if (pooled != null) {
            pooled.onSent();
        }
    }

    @Override
    public void onEnded(ServerId server, TaskSpec task, AttemptResult result) {
        noCapacityCache.clear();
        PooledServer pooled = servers.get(server);
        if (pooled != null) {
            boolean failed = result.outcome() != AttemptResult.Outcome.DONE;
            pooled.onEnded(task, result, clock.nanos(), failed && mostOtherServersFail(pooled));
        }
    }

    /**
     * Returns whether the last result of most other servers was a failure. The cause is then assumed to be the tasks:
     * otherwise a job whose tasks always fail would eject every server.
     */
    private boolean mostOtherServersFail(PooledServer server) {
        int failingServers = 0;
        for (PooledServer other : servers.values()) {
            failingServers += other != server && other.lastFailed() ? 1 : 0;
        }
        return 2 * failingServers > servers.size() - 1;
    }

    @Override
    public void onStopped(ServerId server, TaskSpec task, AttemptResult result) {
        noCapacityCache.clear();
        PooledServer pooled = servers.get(server);
        if (pooled != null) {
            pooled.onStopped(result);
        }
    }

    @Override
    public double usableSlots(BatchConfig batch) {
        long nowNanos = clock.nanos();
        double sum = 0;
        for (PooledServer server : eligible(batch)) {
            sum += server.isLeaving() || server.isEjected(nowNanos) ? 0 : server.window();
        }
        return sum;
    }

    @Override
    public List<DispatcherStats.ServerView> views() {
        long nowNanos = clock.nanos();
        List<DispatcherStats.ServerView> views = new ArrayList<>(servers.size());
        for (PooledServer server : servers.values()) {
            views.add(server.view(nowNanos));
        }
        return views;
    }

    private List<PooledServer> eligible(BatchConfig batch) {
        EligibleServers cached = eligibleByBatch.get(batch.id());
        if (cached == null || !cached.batch().equals(batch)) {
            cached = new EligibleServers(batch, findEligible(batch));
            eligibleByBatch.put(batch.id(), cached);
        }
        return cached.servers();
    }

    private List<PooledServer> findEligible(BatchConfig batch) {
        List<PooledServer> found = new ArrayList<>();
        for (PooledServer server : servers.values()) {
            if (batch.allows(server.config())) {
                found.add(server);
            }
        }
        return found;
    }
}
