package org.banyanspoke.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.FencingTokens;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.ZoneElection;
import org.banyanspoke.core.ownership.ZoneEvacuation;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.StartPermission;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/** Dispatches the jobs of all entry hosts to the servers of this host's zone while this host is elected. */
final class ZoneDispatcher {
    private static final EventLog LOG = EventLog.of(ZoneDispatcher.class);

    /** A gap of this length between ticks is a pause of the process; peers may have given up requests read after it. */
    private static final long PAUSE_THRESHOLD_MILLIS = 400;
    /** Time after a pause in which messages that were buffered during it are read. */
    private static final long CATCH_UP_MILLIS = 150;

    /** Bounds the memory for the ids of cancelled jobs. */
    private static final int MAX_CANCELLED_JOBS = 10_000;

    private static final long NEVER = Long.MAX_VALUE;
    private static final String EVACUATED = "the zone is being evacuated";

    private final HostId host;
    private final ZoneId zone;
    private final long processorMillicores;
    private final ServerPool pool;
    private final JobContacts contacts;
    private final FencingTokens tokens;
    private final ServerRegistry registry;
    private final ZoneEvacuation evacuation;
    private final MonotonicClock clock;
    private final LongSupplier wallClockMillis;
    private final CancelledJobs cancelledJobs;
    private long refusedAsCancelled;
    private long registration;
    private long reports;
    private long round;
    private boolean draining;
    private boolean handingOver;
    private Set<ServerId> assigned = Set.of();
    private long lastTickMillis = NEVER;
    private long lastTickWallMillis;
    private long catchUpEndMillis;
    private StartPermission startPermission;
    private long evacuationOffset;
    private long refusedByEvacuation;

    ZoneDispatcher(
            HostId host,
            ZoneId zone,
            long processorMillicores,
            ServerPool pool,
            JobContacts contacts,
            FencingTokens tokens,
            ServerRegistry registry,
            ZoneEvacuation evacuation,
            MonotonicClock clock,
            LongSupplier wallClockMillis) {
        this.host = host;
        this.zone = zone;
        this.processorMillicores = processorMillicores;
        this.pool = pool;
        this.contacts = contacts;
        this.tokens = tokens;
        this.registry = registry;
        this.evacuation = evacuation;
        this.clock = clock;
        this.wallClockMillis = wallClockMillis;
        this.catchUpEndMillis = clock.millis();
        this.cancelledJobs = new CancelledJobs(clock, MAX_CANCELLED_JOBS);
        permitStarts();
    }

    /** Sets the registration number that the store assigned to this process. */
    void setRegistration(long number) {
        registration = number;
        tokens.register(number);
    }

    /** Stops accepting jobs; releases each server to the successor once it is idle. */
    void startDraining() {
        draining = true;
    }

    /** Returns the state that this host sends to its peers. */
    HostState state() {
        boolean releasing = draining || handingOver;
        return new HostState(
                host,
                zone,
                registration,
                processorMillicores,
                releasing,
                round,
                releasing ? assigned : Set.of(),
                load(),
                ++reports);
    }

    private PoolLoad load() {
        return round > 0 && !evacuation.isRequested() ? pool.load() : PoolLoad.NONE;
    }

    /** Returns the number of jobs that were refused here because of an evacuation. */
    long refusedByEvacuation() {
        return refusedByEvacuation;
    }

    /**
     * Applies the state of the zone's evacuation that has been read from the store.
     *
     * @param offset position of the newest record of the zone in the log
     * @param absentAtMillis time of the previous read; {@link ZoneEvacuation#NEVER} if there was none
     */
    void onEvacuationRead(boolean requested, long offset, long absentAtMillis) {
        evacuationOffset = offset;
        evacuation.update(requested, hasClaim(), absentAtMillis);
        permitStarts();
    }

    private void permitStarts() {
        StartPermission permission = evacuation.permission();
        if (permission == startPermission) {
            return;
        }
        startPermission = permission;
        pool.permitStarts(permission, EVACUATED);
        if (hasClaim()) {
            logEvacuationInForce();
        }
    }

    private void logEvacuationInForce() {
        if (evacuation.isRequested() && startPermission == StartPermission.NONE) {
            LOG.event(Logger.Level.INFO, "evacuation in force")
                    .with("evacuatedZone", zone)
                    .with("offset", evacuationOffset)
                    .write();
        }
    }

    /** Returns whether this host has claimed dispatching, including while it only hands servers over. */
    boolean hasClaim() {
        return round > 0;
    }

    boolean dispatching() {
        return round > 0 && !draining && !handingOver;
    }

    boolean idle() {
        return pool.isIdle();
    }

    /** Returns the entry hosts that wait for the outcome of jobs in this pool. */
    Set<HostId> waitingHosts() {
        return contacts.hosts();
    }

    /** Applies the result of the election, and assigns the registered servers to the pool. */
    void reconcile(Collection<HostState> peerStates) {
        if (draining) {
            assignUntilIdle();
            return;
        }
        if (round > 0 && continueHandover(peerStates)) {
            return;
        }
        boolean dispatches = ZoneElection.shouldDispatch(state(), peerStates);
        if (dispatches && round == 0) {
            long highestRound =
                    peerStates.stream().mapToLong(HostState::round).max().orElse(0);
            round = tokens.claim(highestRound);
            LOG.event(Logger.Level.INFO, "dispatching started")
                    .with("zone", zone)
                    .with("round", round)
                    .with("heard", peerStates.size())
                    .write();
            logEvacuationInForce();
        } else if (!dispatches && round > 0) {
            stopDispatching();
        }
        if (round > 0) {
            assign(peerStates);
        }
    }

    /** Hands each server over to a much stronger host once it is idle. Returns false if there is no such host. */
    private boolean continueHandover(Collection<HostState> peerStates) {
        boolean wasHandingOver = handingOver;
        handingOver = ZoneElection.shouldHandOver(state(), peerStates);
        if (handingOver != wasHandingOver) {
            LOG.event(
                            Logger.Level.INFO,
                            handingOver
                                    ? "handover to a stronger host started"
                                    : "handover cancelled, no stronger host alive")
                    .with("zone", zone)
                    .with("round", round)
                    .write();
        }
        if (!handingOver) {
            return false;
        }
        assignUntilIdle();
        if (assigned.isEmpty() && pool.isIdle()) {
            handingOver = false;
            stopDispatching();
        }
        return true;
    }

    private void stopDispatching() {
        round = 0;
        assigned = Set.of();
        pool.release("another host dispatches");
        LOG.event(Logger.Level.INFO, "dispatching stopped, another host dispatches")
                .with("zone", zone)
                .write();
    }

    private void assign(Collection<HostState> peerStates) {
        Set<ServerId> heldByOthers = new HashSet<>();
        for (HostState other : peerStates) {
            if (other.leaving() && other.zone().equals(zone)) {
                heldByOthers.addAll(other.heldServers());
            }
        }
        assign(server -> !heldByOthers.contains(server.id()));
    }

    private void assignUntilIdle() {
        if (round == 0) {
            return;
        }
        boolean hasQueuedJobs = pool.load().queuedCoreMillis() > 0;
        assign(server -> assigned.contains(server.id()) && (hasQueuedJobs || !pool.isIdle(server.id())));
    }

    private void assign(Predicate<ServerDescriptor> wanted) {
        List<ServerDescriptor> entries = new ArrayList<>();
        for (ServerDescriptor server : registry.serversIn(zone)) {
            if (wanted.test(server)) {
                entries.add(evacuation.usable(server));
            }
        }
        assigned = entries.stream().map(ServerDescriptor::id).collect(Collectors.toUnmodifiableSet());
        pool.assign(entries);
    }

    /** Cancels jobs whose entry hosts are no longer alive, and runs the due work of the pool. */
    void tick(Predicate<HostId> isAlive) {
        detectPause();
        recordTick(clock.millis(), wallClockMillis.getAsLong());
        permitStarts();
        for (HostId waiting : contacts.hosts()) {
            if (!waiting.equals(host) && !isAlive.test(waiting)) {
                contacts.jobsOf(waiting)
                        .forEach(job -> cancel(waiting, job, "no contact with the caller's entry host"));
            }
        }
        if (round > 0) {
            pool.tick();
        }
    }

    /**
     * Detects a pause of the process by the monotonic clock, and a suspension of the machine, during which that clock
     * stands still, by the wall clock. A wall clock that is set forward counts as a suspension too, which only delays
     * jobs.
     */
    private void detectPause() {
        long nowMillis = clock.millis();
        long nowWallMillis = wallClockMillis.getAsLong();
        long stoodMillis = Math.max(nowMillis - lastTickMillis, nowWallMillis - lastTickWallMillis);
        if (lastTickMillis != NEVER && stoodMillis >= PAUSE_THRESHOLD_MILLIS) {
            catchUpEndMillis = nowMillis + CATCH_UP_MILLIS;
            LOG.event(Logger.Level.WARN, "process was paused")
                    .with("stoodMillis", stoodMillis)
                    .write();
            recordTick(nowMillis, nowWallMillis);
        }
    }

    private void recordTick(long nowMillis, long nowWallMillis) {
        lastTickMillis = nowMillis;
        lastTickWallMillis = nowWallMillis;
    }

    /**
     * Accepts a job of an entry host. Refuses jobs that may have been buffered in a connection while this process was
     * paused: their entry hosts may have reported them as lost, and the callers may have sent them elsewhere.
     *
     * @param knownMillis time of this host's clock that the entry host had read when it sent the job; 0 if it had read
     *     none or is this host
     */
    void submit(HostId from, PooledJob job, long knownMillis, Consumer<JobOutcome> onEnded) {
        if (cancelledJobs.remainingMillis(job.id()) > 0) {
            refusedAsCancelled++;
            onEnded.accept(outcomeAfterCancellation(job.id()));
            return;
        }
        if (!dispatching()) {
            onEnded.accept(JobOutcome.refused("this host does not dispatch", 1));
            return;
        }
        detectPause();
        if (!from.equals(host) && clock.millis() < catchUpEndMillis) {
            onEnded.accept(JobOutcome.refused("this host was paused", 1));
            return;
        }
        contacts.add(job.id(), from, knownMillis);
        AtomicBoolean ended = new AtomicBoolean();
        Consumer<JobOutcome> endOnce = outcome -> {
            if (ended.compareAndSet(false, true)) {
                contacts.remove(job.id());
                countRefusal(outcome);
                onEnded.accept(withCancellation(job.id(), outcome));
            }
        };
        try {
            pool.submit(job, endOnce);
        } catch (RuntimeException e) {
            abandon(job.id(), e);
            endOnce.accept(JobOutcome.abandoned("unexpected error while the job was submitted"));
        }
    }

    private void countRefusal(JobOutcome outcome) {
        if (outcome.kind() == JobOutcome.Kind.REFUSED && outcome.reason().equals(EVACUATED)) {
            refusedByEvacuation++;
        }
    }

    /** Stops a job whose submission failed halfway, so that it does not run on without anybody waiting for it. */
    private void abandon(CallerJobId job, RuntimeException error) {
        LOG.event(Logger.Level.ERROR, "unexpected error while a job was submitted")
                .with("job", job)
                .cause(error)
                .write();
        try {
            pool.cancel(job, "unexpected error while the job was submitted");
        } catch (RuntimeException e) {
            LOG.event(Logger.Level.ERROR, "unexpected error while a job was cancelled")
                    .with("job", job)
                    .cause(e)
                    .write();
        }
    }

    /** A job that arrives after its cancellation is not started. It is not refused if an earlier submission has run. */
    private JobOutcome outcomeAfterCancellation(CallerJobId job) {
        return cancelledJobs.mayHaveRun(job)
                ? JobOutcome.abandoned("the job was cancelled after a task had been started")
                : JobOutcome.cancelled("the job was cancelled", cancelledJobs.remainingMillis(job));
    }

    /** Tells the entry host of a cancelled job, which would send a job that was only refused to another dispatcher. */
    private JobOutcome withCancellation(CallerJobId job, JobOutcome outcome) {
        long remainingMillis = cancelledJobs.remainingMillis(job);
        if (remainingMillis > 0 && outcome.kind() == JobOutcome.Kind.REFUSED) {
            return JobOutcome.cancelled(outcome.reason(), remainingMillis);
        }
        cancelledJobs.recordStarted(job);
        return outcome;
    }

    /**
     * Cancels a job, whichever entry hosts wait for it, and refuses it for some time if it arrives later.
     *
     * @return whether the job was in progress here
     */
    boolean cancelForAll(CallerJobId job, String reason) {
        cancelledJobs.add(job);
        boolean known = contacts.isKnown(job);
        if (known) {
            pool.cancel(job, reason);
        }
        return known;
    }

    /** Returns the number of jobs that were refused because they had been cancelled before they arrived. */
    long refusedAsCancelled() {
        return refusedAsCancelled;
    }

    /** Removes an entry host from those that wait for a job; cancels the job if none is left. */
    void cancel(HostId from, CallerJobId job, String reason) {
        if (contacts.remove(job, from)) {
            pool.cancel(job, reason);
        }
    }

    /**
     * Applies the reply of an entry host to a check of its jobs.
     *
     * @param awaited the jobs that it still waits for; the others are cancelled
     */
    void onContact(JobContacts.Check check, Set<CallerJobId> awaited) {
        boolean delayedStarts = contacts.hasStale(check.jobs());
        for (CallerJobId released : contacts.apply(check, awaited)) {
            cancel(check.host(), released, "the entry host no longer waits for the job");
        }
        if (delayedStarts && round > 0) {
            pool.tick();
        }
    }
}
