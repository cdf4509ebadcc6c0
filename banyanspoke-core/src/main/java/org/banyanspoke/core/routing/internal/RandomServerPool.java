package org.banyanspoke.core.routing.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.DispatcherStats.ServerView;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.schedule.SlotAccess;

/**
 * Server pool of the {@code baseline} policy: selects a random server in service with a free connection. It learns no
 * speeds and ejects no servers.
 */
public final class RandomServerPool implements ServerPool {
    /**
     * Connections per host and server: at most 8 hosts use a server, with 8 connections each; see design section 2.3.
     */
    private static final int MAX_IN_FLIGHT = 8;

    private final UniformRandomProvider random;
    private final Map<ServerId, BackendServerConfig> servers = new TreeMap<>();
    private final Map<ServerId, Integer> inFlight = new HashMap<>();
    private final Map<BatchId, EligibleServers> eligibleByBatch = new HashMap<>();
    private Set<ServerId> leaving = Set.of();

    /** Servers in service that the configuration allows for a batch. */
    private record EligibleServers(BatchConfig batch, List<ServerId> servers) {}

    /** Creates a pool without servers. */
    public RandomServerPool(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public void configure(ConfigState config) {
        servers.clear();
        servers.putAll(config.servers());
        eligibleByBatch.clear();
    }

    @Override
    public void setLeaving(Set<ServerId> newLeaving) {
        leaving = Set.copyOf(newLeaving);
        eligibleByBatch.clear();
    }

    @Override
    public boolean hasEligible(BatchConfig batch) {
        return !eligible(batch).isEmpty();
    }

    private List<ServerId> eligible(BatchConfig batch) {
        EligibleServers cached = eligibleByBatch.get(batch.id());
        if (cached == null || !cached.batch().equals(batch)) {
            cached = new EligibleServers(batch, findEligible(batch));
            eligibleByBatch.put(batch.id(), cached);
        }
        return cached.servers();
    }

    private List<ServerId> findEligible(BatchConfig batch) {
        List<ServerId> found = new ArrayList<>();
        for (BackendServerConfig server : servers.values()) {
            if (batch.allows(server) && isInService(server)) {
                found.add(server.id());
            }
        }
        return found;
    }

    private boolean isInService(BackendServerConfig server) {
        return server.state() == ServerState.IN_SERVICE && !leaving.contains(server.id());
    }

    /** Returns the first server with a free connection, starting at a random position. */
    @Override
    public Optional<ServerId> select(BatchConfig batch, TaskSpec task, SlotAccess claim) {
        List<ServerId> candidates = eligible(batch);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int start = random.nextInt(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            ServerId server = candidates.get((start + i) % candidates.size());
            if (inFlight(server) < MAX_IN_FLIGHT) {
                return Optional.of(server);
            }
        }
        return Optional.empty();
    }

    private int inFlight(ServerId server) {
        return inFlight.getOrDefault(server, 0);
    }

    @Override
    public void onSent(ServerId server, TaskSpec task) {
        inFlight.merge(server, 1, Integer::sum);
    }

    @Override
    public void onEnded(ServerId server, TaskSpec task, AttemptResult result) {
        inFlight.computeIfPresent(server, (id, count) -> count == 1 ? null : count - 1);
        if (result.serverLeaving() && !leaving.contains(server)) {
            Set<ServerId> extended = new HashSet<>(leaving);
            extended.add(server);
            setLeaving(extended);
        }
    }

    @Override
    public double usableSlots(BatchConfig batch) {
        return (double) MAX_IN_FLIGHT * eligible(batch).size();
    }

    @Override
    public List<ServerView> views() {
        List<ServerView> views = new ArrayList<>();
        for (BackendServerConfig server : servers.values()) {
            views.add(new ServerView(
                    server.id(), MAX_IN_FLIGHT, inFlight(server.id()), 1.0, false, !isInService(server)));
        }
        return views;
    }
}
