package org.banyanspoke.host;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.JobPlacement;
import org.banyanspoke.core.ownership.JobRouter;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.EntryJobService;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.SiteConfig;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.peer.PeerException;
import org.banyanspoke.peer.PeerHandler;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;

/** Sends callers' jobs to the dispatcher with the earliest expected start, local or remote; accepts jobs of peers. */
final class JobForwarder implements EntryJobService {
    /** Network allowance on top of the caller's deadline, by which a dispatcher replies at the latest. */
    private static final long REPLY_MARGIN_MILLIS = 300;

    /** A lost dispatcher is replaced within this time. */
    private static final long NO_DISPATCHER_RETRY_MILLIS = 1_000;

    private static final JobOutcome CANCELLED =
            JobOutcome.refused("the job was cancelled before it was sent to a dispatcher", 0);
    /** An evacuation lasts far longer than a store needs to deliver its withdrawal. */
    private static final long EVACUATED_RETRY_MILLIS = 5_000;

    private static final JobOutcome ALL_ZONES_EVACUATED =
            JobOutcome.refused("every zone with a dispatcher is evacuated", EVACUATED_RETRY_MILLIS);
    private static final JobOutcome NO_DISPATCHER =
            JobOutcome.refused("no dispatcher is available", NO_DISPATCHER_RETRY_MILLIS);

    private final HostId host;
    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final HostStateExchange exchange;
    private final ZoneDispatcher dispatcher;
    private final ConfigWatch config;
    private final EvacuationWatch evacuations;
    private final JobRouter router;
    private final EntryObserver observer;
    private final MonotonicClock clock;
    private final InputProgress input;
    private final JobContactExchange contactExchange;
    private final JobCancellations cancellations;
    private final Map<CallerJobId, OpenJob> open = new HashMap<>();
    private final Set<OpenJob> waiting = new LinkedHashSet<>();
    private boolean draining;

    JobForwarder(
            HostId host,
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            HostStateExchange exchange,
            ZoneDispatcher dispatcher,
            ConfigWatch config,
            EvacuationWatch evacuations,
            JobRouter router,
            EntryObserver observer,
            MonotonicClock clock,
            JobContacts contacts,
            InputProgress input) {
        this.host = host;
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.exchange = exchange;
        this.dispatcher = dispatcher;
        this.config = config;
        this.evacuations = evacuations;
        this.router = router;
        this.observer = observer;
        this.clock = clock;
        this.input = input;
        this.contactExchange =
                new JobContactExchange(transport, context, directory, contacts, dispatcher, input, this::isAwaited);
        transport.handle(Frame.BodyCase.POOL_JOB, PeerHandler.cancelledOnDisconnect(this::onPeerJob));
        this.cancellations =
                new JobCancellations(transport, context, directory, exchange, dispatcher, this::cancelHere);
    }

    /** Reports this host as not ready from now on, so that new connections go to other hosts. */
    void startDraining() {
        draining = true;
    }

    /** Returns the number of this host's callers that wait for an answer. */
    int openJobs() {
        return open.size();
    }

    /** Returns the number of jobs that wait for a dispatcher. */
    int waitingJobs() {
        return waiting.size();
    }

    @Override
    public boolean isReady() {
        return !draining && config.config().isPresent();
    }

    @Override
    public Optional<SiteConfig> config() {
        return config.config();
    }

    @Override
    public int pendingJobs(String queue) {
        // Callers wait for the outcome and jobs are not stored, so no job is ever accepted but unfinished.
        return 0;
    }

    @Override
    public Attempt submit(PooledJob job, Consumer<JobOutcome> onEnded) {
        OpenJob openJob = new OpenJob(job, new JobPlacement(job, router, clock), input.nowMillis(), onEnded);
        open.put(job.id(), openJob);
        place(openJob, NO_DISPATCHER);
        return reason -> cancel(openJob, reason, false);
    }

    /** Returns whether a caller waits for a job that was sent to a dispatcher. */
    private boolean isAwaited(CallerJobId id, HostId dispatcherHost) {
        OpenJob job = open.get(id);
        return job != null && !job.cancelled() && job.isDispatchedBy(dispatcherHost);
    }

    /** Asks the entry hosts of jobs that this host dispatches whether they still wait, if that is due. */
    void checkContacts() {
        contactExchange.tick();
    }

    /** Retries the placement of jobs that wait for a dispatcher. */
    void tick() {
        for (OpenJob each : List.copyOf(waiting)) {
            waiting.remove(each);
            place(each, NO_DISPATCHER);
        }
    }

    /**
     * Sends a job to the next dispatcher, once it is known that its caller has not left while this process was
     * suspended.
     *
     * @param fallback the answer if there is no dispatcher left to try
     */
    private void place(OpenJob job, JobOutcome fallback) {
        if (job.cancelled()) {
            end(job, CANCELLED);
        } else if (isCallerUncertain(job)) {
            input.afterReading(() -> context.runOnContext(unused -> place(job, fallback)));
        } else {
            sendToNextDispatcher(job, fallback);
        }
    }

    /**
     * Returns whether the caller may have closed its connection without this process having read that. It may then have
     * sent the job to another host.
     */
    private boolean isCallerUncertain(OpenJob job) {
        return input.isBehind() || (input.isCatchingUp() && !input.hasReadUntil(job.receivedMillis()));
    }

    private void sendToNextDispatcher(OpenJob job, JobOutcome fallback) {
        Collection<HostState> dispatchers = dispatchers();
        Optional<HostState> target = job.placement().nextDispatcher(dispatchers);
        if (target.isPresent()) {
            job.setDispatcher(target.get());
            send(job, target.get().host());
        } else if (fallback.equals(NO_DISPATCHER) && evacuations.coverAllDispatchers(dispatchers)) {
            end(job, ALL_ZONES_EVACUATED);
        } else if (job.placement().shouldWait()) {
            waiting.add(job);
        } else {
            end(job, fallback);
        }
    }

    private void send(OpenJob job, HostId to) {
        PooledJob aged = job.placement().job();
        if (to.equals(host)) {
            dispatcher.submit(host, aged, 0, outcome -> onOutcome(job, outcome));
        } else {
            forward(to, aged, outcome -> onOutcome(job, outcome));
        }
    }

    /** A refused job has not run, so it is safe to send it to another dispatcher. */
    private void onOutcome(OpenJob job, JobOutcome outcome) {
        if (outcome.kind() == JobOutcome.Kind.REFUSED && !outcome.cancelled() && !job.cancelled()) {
            place(job, outcome);
        } else {
            end(job, outcome);
        }
    }

    private void end(OpenJob job, JobOutcome outcome) {
        open.remove(job.id(), job);
        job.answer(outcome);
        observer.answered(job, outcome, config.config());
    }

    private Collection<HostState> dispatchers() {
        Collection<HostState> states = new ArrayList<>();
        for (HostState each : exchange.liveStates()) {
            if (directory.knows(each.host())) {
                states.add(each);
            }
        }
        states.add(dispatcher.state());
        return states;
    }

    private void forward(HostId to, PooledJob job, Consumer<JobOutcome> ended) {
        Frame.Builder request = Frame.newBuilder().setPoolJob(PoolMessages.encode(job, exchange.clockReading(to)));
        long remainingMillis = Math.max(0, job.callerTimeoutMillis() - job.ageMillis());
        var unused = transport
                .request(directory.address(to), request, remainingMillis + REPLY_MARGIN_MILLIS)
                .subscribe(
                        reply -> context.runOnContext(none -> ended.accept(outcome(to, reply.frame()))),
                        error -> context.runOnContext(none -> ended.accept(failureOutcome(to, error))));
    }

    /** An invalid reply does not tell what became of the job, so the job counts as one that may have run. */
    private static JobOutcome outcome(HostId dispatcher, Frame reply) {
        try {
            return PoolMessages.decodeOutcome(reply);
        } catch (IllegalArgumentException e) {
            return JobOutcome.abandoned("invalid reply of dispatcher " + dispatcher + ": " + e.getMessage());
        }
    }

    private static JobOutcome failureOutcome(HostId dispatcher, Throwable error) {
        boolean mayHaveArrived = !(error instanceof PeerException failure) || failure.mayHaveArrived();
        String reason = "dispatcher " + dispatcher + " failed: " + error.getMessage();
        return mayHaveArrived ? JobOutcome.abandoned(reason) : JobOutcome.refused(reason, NO_DISPATCHER_RETRY_MILLIS);
    }

    @Override
    public void cancel(CallerJobId id, String reason, Consumer<Boolean> onReply) {
        if (cancelHere(id, reason)) {
            observer.cancelled(id, new JobCancellations.Replies(0, 0, true));
            onReply.accept(true);
            return;
        }
        cancellations.cancelEverywhere(id, reason, replies -> {
            observer.cancelled(id, replies);
            onReply.accept(replies.known());
        });
    }

    /** Cancels a job whose caller waits here or that is dispatched here. Returns whether there was one. */
    private boolean cancelHere(CallerJobId id, String reason) {
        OpenJob job = open.get(id);
        if (job != null) {
            cancel(job, reason, true);
        }
        boolean dispatchedHere = dispatcher.cancelForAll(id, reason);
        return job != null || dispatchedHere;
    }

    /**
     * Cancels an attempt of a job.
     *
     * @param requested whether the job was cancelled by request; otherwise the caller of this attempt has left
     */
    private void cancel(OpenJob job, String reason, boolean requested) {
        if (job.ended()) {
            return;
        }
        job.cancel();
        if (waiting.remove(job)) {
            end(job, JobOutcome.refused(reason, NO_DISPATCHER_RETRY_MILLIS));
        } else if (open.get(job.id()) == job) {
            cancelAtDispatcher(job, reason, requested);
        }
        // Otherwise a later attempt is open, whose dispatcher may have the same job. A dispatcher that has only the
        // earlier
        // attempt cancels it when it checks the contact with its caller.
    }

    private void cancelAtDispatcher(OpenJob job, String reason, boolean requested) {
        if (!job.isDispatchedBy(host)) {
            job.dispatcher().ifPresent(state -> cancelRemotely(state.host(), job.id(), reason, requested));
        } else if (requested) {
            dispatcher.cancelForAll(job.id(), reason);
        } else {
            dispatcher.cancel(host, job.id(), reason);
        }
    }

    private void cancelRemotely(HostId to, CallerJobId id, String reason, boolean requested) {
        if (requested) {
            cancellations.cancelAt(to, id, reason);
        } else {
            cancellations.release(to, id, reason);
        }
    }

    /**
     * Cancels the job if the connection closes before the reply: the caller has been told that the outcome is unknown
     * and may have sent the job to another host.
     */
    private Single<Frame.Builder> onPeerJob(PeerIdentity from, Frame request) {
        PooledJob job = PoolMessages.decode(request.getPoolJob());
        AtomicBoolean ended = new AtomicBoolean();
        return Single.<Frame.Builder>create(emitter -> context.runOnContext(unused -> {
                    if (emitter.isDisposed()) {
                        return;
                    }
                    // The contact with the caller is checked at this address.
                    directory.recordAddress(from.host(), from.address());
                    dispatcher.submit(from.host(), job, request.getPoolJob().getDispatcherMillis(), outcome -> {
                        ended.set(true);
                        emitter.onSuccess(Frame.newBuilder().setPoolJobReply(PoolMessages.encode(outcome)));
                    });
                    contactExchange.checkIfDue(job.id());
                }))
                .doOnDispose(() -> context.runOnContext(unused -> {
                    if (!ended.get()) {
                        dispatcher.cancel(
                                from.host(), job.id(), "the connection to the caller's entry host was closed");
                    }
                }));
    }
}
