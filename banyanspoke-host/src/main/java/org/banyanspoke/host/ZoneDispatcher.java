package org.banyanspoke.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.FencingTokens;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.ZoneElection;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/** Dispatches for this host's zone while the election says so, for jobs of all entry hosts. */
final class ZoneDispatcher {
    private static final EventLog LOG = EventLog.of(ZoneDispatcher.class);

    /** Time between two ticks after which this process was stopped, and peers may have given up what it reads now. */
    private static final long STANDSTILL_MILLIS = 400;
    /** In this time after a standstill the messages that waited for this process are read. */
    private static final long CATCH_UP_MILLIS = 150;

    private static final long NEVER = Long.MAX_VALUE;

    private final HostId host;
    private final ZoneId zone;
    private final long processorMillicores;
    private final ServerPool pool;
    private final FencingTokens tokens;
    private final ServerRegistry registry;
    private final MonotonicClock clock;
    private final Map<CallerJobId, Set<HostId>> waitingHosts = new HashMap<>();
    private long registration;
    private long round;
    private boolean leaving;
    private boolean handingOver;
    private Set<ServerId> assigned = Set.of();
    private long tickMillis = NEVER;
    private long caughtUpMillis;

    ZoneDispatcher(
            HostId host,
            ZoneId zone,
            long processorMillicores,
            ServerPool pool,
            FencingTokens tokens,
            ServerRegistry registry,
            MonotonicClock clock) {
        this.host = host;
        this.zone = zone;
        this.processorMillicores = processorMillicores;
        this.pool = pool;
        this.tokens = tokens;
        this.registry = registry;
        this.clock = clock;
        this.caughtUpMillis = clock.millis();
    }

    /** Sets the number that the store gave this process. */
    void registered(long number) {
        registration = number;
        tokens.register(number);
    }

    /** Takes no new jobs; servers are left to the successor as soon as nothing runs there. */
    void leave() {
        leaving = true;
    }

    /** Returns what this host says of itself. */
    HostState state() {
        boolean givesUp = leaving || handingOver;
        return new HostState(
                host, zone, registration, processorMillicores, givesUp, round, givesUp ? assigned : Set.of(), load());
    }

    private PoolLoad load() {
        return round > 0 ? pool.load() : PoolLoad.NONE;
    }

    /** Returns whether this host claims to dispatch, be it only for servers that it hands over. */
    boolean claims() {
        return round > 0;
    }

    boolean dispatching() {
        return round > 0 && !leaving && !handingOver;
    }

    boolean idle() {
        return pool.isIdle();
    }

    /** Returns the entry hosts that wait for jobs that are here. */
    Set<HostId> waitingHosts() {
        Set<HostId> all = new HashSet<>();
        waitingHosts.values().forEach(all::addAll);
        return all;
    }

    /** Follows the election and the registry. */
    void review(Collection<HostState> heard) {
        if (leaving) {
            assignWhileLeaving();
            return;
        }
        if (round > 0 && handsOver(heard)) {
            return;
        }
        boolean dispatches = ZoneElection.shouldDispatch(state(), heard);
        if (dispatches && round == 0) {
            long highest = heard.stream().mapToLong(HostState::round).max().orElse(0);
            round = tokens.claim(highest);
            LOG.event(Logger.Level.INFO, "dispatches from now on")
                    .with("zone", zone)
                    .with("round", round)
                    .with("heard", heard.size())
                    .write();
        } else if (!dispatches && round > 0) {
            resign();
        }
        if (round > 0) {
            assign(heard);
        }
    }

    /** Hands the servers over to a much stronger host, each as soon as nothing runs there. Returns false if there is none. */
    private boolean handsOver(Collection<HostState> heard) {
        boolean before = handingOver;
        handingOver = ZoneElection.shouldHandOver(state(), heard);
        if (handingOver != before) {
            LOG.event(
                            Logger.Level.INFO,
                            handingOver ? "hands over to a stronger host" : "hands over no more, none is heard")
                    .with("zone", zone)
                    .with("round", round)
                    .write();
        }
        if (!handingOver) {
            return false;
        }
        assignWhileLeaving();
        if (assigned.isEmpty() && pool.isIdle()) {
            handingOver = false;
            resign();
        }
        return true;
    }

    private void resign() {
        round = 0;
        assigned = Set.of();
        pool.release("another host dispatches");
        LOG.event(Logger.Level.INFO, "dispatches no more, another host does")
                .with("zone", zone)
                .write();
    }

    private void assign(Collection<HostState> heard) {
        Set<ServerId> heldByOthers = new HashSet<>();
        for (HostState other : heard) {
            if (other.leaving() && other.zone().equals(zone)) {
                heldByOthers.addAll(other.heldServers());
            }
        }
        assign(server -> !heldByOthers.contains(server.id()));
    }

    private void assignWhileLeaving() {
        if (round == 0) {
            return;
        }
        boolean waiting = pool.load().queuedCoreMillis() > 0;
        assign(server -> assigned.contains(server.id()) && (waiting || !pool.isIdle(server.id())));
    }

    private void assign(Predicate<ServerDescriptor> wanted) {
        List<ServerDescriptor> entries = new ArrayList<>();
        for (ServerDescriptor server : registry.in(zone)) {
            if (wanted.test(server)) {
                entries.add(server);
            }
        }
        assigned = entries.stream().map(ServerDescriptor::id).collect(Collectors.toUnmodifiableSet());
        pool.assign(entries);
    }

    /** Ends jobs of entry hosts that are not heard any more, and does what is due in the pool. */
    void tick(Predicate<HostId> hears) {
        noteStandstill();
        tickMillis = clock.millis();
        for (Map.Entry<CallerJobId, Set<HostId>> each : List.copyOf(waitingHosts.entrySet())) {
            each.getValue().removeIf(waiting -> !waiting.equals(host) && !hears.test(waiting));
            if (each.getValue().isEmpty()) {
                waitingHosts.remove(each.getKey());
                pool.cancel(each.getKey(), "the entry host of the caller is silent");
            }
        }
        if (round > 0) {
            pool.tick();
        }
    }

    private void noteStandstill() {
        long nowMillis = clock.millis();
        if (tickMillis != NEVER && nowMillis - tickMillis >= STANDSTILL_MILLIS) {
            caughtUpMillis = nowMillis + CATCH_UP_MILLIS;
            LOG.event(Logger.Level.WARN, "this process stood still")
                    .with("stoodMillis", nowMillis - tickMillis)
                    .write();
            tickMillis = nowMillis;
        }
    }

    /**
     * Takes a job that an entry host has read. Refuses jobs that may have waited in a connection while this process stood still:
     * their entry hosts may have told the callers so, who have sent them elsewhere.
     */
    void submit(HostId from, PooledJob job, Consumer<JobOutcome> whenEnded) {
        if (!dispatching()) {
            whenEnded.accept(JobOutcome.refused("this host does not dispatch", 1));
            return;
        }
        noteStandstill();
        if (!from.equals(host) && clock.millis() < caughtUpMillis) {
            whenEnded.accept(JobOutcome.refused("this host stood still", 1));
            return;
        }
        waitingHosts.computeIfAbsent(job.id(), key -> new HashSet<>()).add(from);
        pool.submit(job, outcome -> {
            waitingHosts.remove(job.id());
            whenEnded.accept(outcome);
        });
    }

    /** Takes note that a caller at an entry host no longer waits. */
    void cancel(HostId from, CallerJobId job, String reason) {
        Set<HostId> waiting = waitingHosts.get(job);
        if (waiting != null && waiting.remove(from) && waiting.isEmpty()) {
            waitingHosts.remove(job);
            pool.cancel(job, reason);
        }
    }
}
