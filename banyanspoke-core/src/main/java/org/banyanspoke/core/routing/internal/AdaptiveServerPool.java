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
import org.banyanspoke.core.schedule.SlotClaim;
import org.banyanspoke.core.time.MonotonicClock;

/** Servers with learned windows, speeds and failures. Selecting costs O(servers of this host), without streams. */
public final class AdaptiveServerPool implements ServerPool {
    /** Part of the promise that a task may run, so that time to wait is left. */
    private static final double PROMISE_PART = 0.5;

    private final HostId self;
    private final MonotonicClock clock;
    private final ConcurrencyWindow windowRule;
    private final ServerSelector selector;
    private final OutlierDetector outliers;
    private final SubsetAssignment assignment;
    /** Sorted, because the choice between equal servers depends on their order and is to be the same for a seed. */
    private final Map<ServerId, PooledServer> servers = new TreeMap<>(Comparator.comparing(ServerId::value));

    private final Map<BatchId, Eligible> eligibleByBatch = new HashMap<>();
    private final List<PooledServer> withRoom = new ArrayList<>();
    private final NoCapacityCache refusedClaims = new NoCapacityCache();
    private Set<ServerId> leaving = Set.of();

    /** Servers that one batch may use, as far as the configuration says. */
    private record Eligible(BatchConfig batch, List<PooledServer> servers) {}

    /** Creates a pool without servers. */
    public AdaptiveServerPool(
            HostId self,
            MonotonicClock clock,
            ConcurrencyWindow windowRule,
            ServerSelector selector,
            OutlierDetector outliers,
            SubsetAssignment assignment) {
        this.self = self;
        this.clock = clock;
        this.windowRule = windowRule;
        this.selector = selector;
        this.outliers = outliers;
        this.assignment = assignment;
    }

    @Override
    public void configure(ConfigState config) {
        eligibleByBatch.clear();
        refusedClaims.clear();
        servers.keySet().retainAll(config.servers().keySet());
        for (BackendServerConfig server : config.servers().values()) {
            configureServer(config, server);
        }
        setLeaving(leaving);
    }

    private void configureServer(ConfigState config, BackendServerConfig server) {
        if (config.hosts().isEmpty()) {
            pooled(server.id()).configure(server, true, 1);
            return;
        }
        List<HostId> sharers = assignment.sharers(server, config.hosts().values());
        if (!sharers.contains(self)) {
            servers.remove(server.id());
            return;
        }
        EntryHostConfig host = config.hosts().get(self);
        pooled(server.id()).configure(server, host.zone().equals(server.zone()), sharers.size());
    }

    private PooledServer pooled(ServerId id) {
        return servers.computeIfAbsent(id, unused -> new PooledServer(windowRule, outliers));
    }

    @Override
    public void setLeaving(Set<ServerId> newLeaving) {
        leaving = Set.copyOf(newLeaving);
        refusedClaims.clear();
        for (PooledServer server : servers.values()) {
            server.setLeavingElsewhere(leaving.contains(server.id()));
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
    public Optional<ServerId> select(BatchConfig batch, TaskSpec task, SlotClaim claim) {
        long nowNanos = clock.nanos();
        if (refusedClaims.contains(claim, nowNanos)) {
            return Optional.empty();
        }
        List<PooledServer> candidates = eligible(batch);
        findRoom(candidates, claim, nowNanos);
        if (withRoom.isEmpty() && candidates.size() == servers.size()) {
            refusedClaims.add(claim, nowNanos);
        }
        return withRoom.isEmpty() ? Optional.empty() : selectWithRoom(batch, task, candidates, nowNanos);
    }

    private void findRoom(List<PooledServer> candidates, SlotClaim claim, long nowNanos) {
        withRoom.clear();
        for (int i = 0; i < candidates.size(); i++) {
            if (candidates.get(i).hasRoom(nowNanos, claim)) {
                withRoom.add(candidates.get(i));
            }
        }
    }

    private Optional<ServerId> selectWithRoom(
            BatchConfig batch, TaskSpec task, List<PooledServer> candidates, long nowNanos) {
        double limitNanos = runTimeLimitNanos(batch, candidates);
        withRoom.removeIf(server -> !server.admits(nowNanos, task.idempotent()) || !server.endsWithin(limitNanos));
        return selector.select(withRoom, task).map(ServerCandidate::id);
    }

    /**
     * Returns the run time that a server must keep for nearly all tasks of the batch. Slow servers are left to batches with
     * longer promises, unless that would leave less than half of the servers.
     */
    private static double runTimeLimitNanos(BatchConfig batch, List<PooledServer> candidates) {
        double limitNanos = batch.promiseMillis() * 1e6 * PROMISE_PART;
        int fast = 0;
        for (int i = 0; i < candidates.size(); i++) {
            PooledServer server = candidates.get(i);
            fast += !server.isLeaving() && server.endsWithin(limitNanos) ? 1 : 0;
        }
        return 2 * fast >= candidates.size() ? limitNanos : Double.MAX_VALUE;
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
        refusedClaims.clear();
        PooledServer pooled = servers.get(server);
        if (pooled != null) {
            boolean failed = result.outcome() != AttemptResult.Outcome.DONE;
            pooled.onEnded(task, result, clock.nanos(), failed && mostOthersFail(pooled));
        }
    }

    /**
     * Returns whether the last result of most other servers was a failure. Then the tasks are at fault: a job that can
     * never run would otherwise set every server aside.
     */
    private boolean mostOthersFail(PooledServer server) {
        int failing = 0;
        for (PooledServer other : servers.values()) {
            failing += other != server && other.lastFailed() ? 1 : 0;
        }
        return 2 * failing > servers.size() - 1;
    }

    @Override
    public void onStopped(ServerId server, TaskSpec task, AttemptResult result) {
        refusedClaims.clear();
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
        Eligible known = eligibleByBatch.get(batch.id());
        if (known == null || !known.batch().equals(batch)) {
            known = new Eligible(batch, findEligible(batch));
            eligibleByBatch.put(batch.id(), known);
        }
        return known.servers();
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
