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
import org.banyanspoke.peer.generated.PoolJobCancel;

/** Hands callers' jobs to the dispatcher that can begin them soonest, here or on another host, and takes those of others. */
final class JobForwarder implements EntryJobService {
    /** A dispatcher answers at the caller's deadline at the latest; this is for the way. */
    private static final long REPLY_MARGIN_MILLIS = 300;

    private static final long CANCEL_TIMEOUT_MILLIS = 500;
    /** A dispatcher that is lost has a successor after this time. */
    private static final long NO_DISPATCHER_RETRY_MILLIS = 1_000;

    private static final JobOutcome NO_DISPATCHER =
            JobOutcome.refused("no dispatcher is known", NO_DISPATCHER_RETRY_MILLIS);

    private final HostId host;
    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final HostLinks links;
    private final ZoneDispatcher dispatcher;
    private final ConfigWatch config;
    private final JobRouter router;
    private final EntryObserver observer;
    private final MonotonicClock clock;
    private final Map<CallerJobId, OpenJob> open = new HashMap<>();
    private final Set<OpenJob> waiting = new LinkedHashSet<>();
    private boolean leaving;

    JobForwarder(
            HostId host,
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            HostLinks links,
            ZoneDispatcher dispatcher,
            ConfigWatch config,
            JobRouter router,
            EntryObserver observer,
            MonotonicClock clock) {
        this.host = host;
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.links = links;
        this.dispatcher = dispatcher;
        this.config = config;
        this.router = router;
        this.observer = observer;
        this.clock = clock;
        transport.handle(Frame.BodyCase.POOL_JOB, PeerHandler.endingWithConnection(this::onPeerJob));
        transport.handle(Frame.BodyCase.POOL_JOB_CANCEL, this::onPeerCancel);
    }

    /** New connections should go elsewhere from now on. */
    void leave() {
        leaving = true;
    }

    /** Returns how many callers of this host wait for an answer. */
    int openJobs() {
        return open.size();
    }

    /** Returns how many jobs wait for a dispatcher. */
    int waitingJobs() {
        return waiting.size();
    }

    @Override
    public boolean isReady() {
        return !leaving && config.config().isPresent();
    }

    @Override
    public Optional<SiteConfig> config() {
        return config.config();
    }

    @Override
    public int pendingJobs(String queue) {
        // Jobs whose callers wait for the end are not stored, so none is accepted and waiting.
        return 0;
    }

    @Override
    public void submit(PooledJob job, Consumer<JobOutcome> whenEnded) {
        OpenJob opened = new OpenJob(job, new JobPlacement(job, router, clock), whenEnded);
        open.put(job.id(), opened);
        place(opened, NO_DISPATCHER);
    }

    /** Gives jobs that wait for a dispatcher another try. */
    void tick() {
        for (OpenJob each : List.copyOf(waiting)) {
            waiting.remove(each);
            place(each, NO_DISPATCHER);
        }
    }

    /**
     * Sends a job to the next dispatcher.
     *
     * @param otherwise the answer if there is none
     */
    private void place(OpenJob job, JobOutcome otherwise) {
        Optional<HostState> target = job.placement().nextDispatcher(dispatchers());
        if (target.isPresent()) {
            job.sentTo(target.get());
            send(job, target.get().host());
        } else if (job.placement().shouldWait()) {
            waiting.add(job);
        } else {
            end(job, otherwise);
        }
    }

    private void send(OpenJob job, HostId to) {
        PooledJob aged = job.placement().job();
        if (to.equals(host)) {
            dispatcher.submit(host, aged, outcome -> onOutcome(job, outcome));
        } else {
            forward(to, aged, outcome -> onOutcome(job, outcome));
        }
    }

    /** Nothing of a refused job has run, so it may go to another dispatcher. */
    private void onOutcome(OpenJob job, JobOutcome outcome) {
        if (outcome.kind() == JobOutcome.Kind.REFUSED && !job.cancelled()) {
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
        Collection<HostState> all = new ArrayList<>();
        for (HostState each : links.heard()) {
            if (directory.knows(each.host())) {
                all.add(each);
            }
        }
        all.add(dispatcher.state());
        return all;
    }

    private void forward(HostId to, PooledJob job, Consumer<JobOutcome> ended) {
        Frame.Builder request = Frame.newBuilder().setPoolJob(PoolMessages.encode(job));
        long leftMillis = Math.max(0, job.callerTimeoutMillis() - job.ageMillis());
        var unused = transport
                .request(directory.address(to), request, leftMillis + REPLY_MARGIN_MILLIS)
                .subscribe(
                        reply -> context.runOnContext(none ->
                                ended.accept(PoolMessages.decode(reply.frame().getPoolJobReply()))),
                        error -> context.runOnContext(none -> ended.accept(lost(to, error))));
    }

    private static JobOutcome lost(HostId dispatcher, Throwable error) {
        boolean mayHaveArrived = !(error instanceof PeerException failure) || failure.mayHaveArrived();
        String reason = "dispatcher " + dispatcher + " was lost: " + error.getMessage();
        return mayHaveArrived ? JobOutcome.abandoned(reason) : JobOutcome.refused(reason, NO_DISPATCHER_RETRY_MILLIS);
    }

    @Override
    public boolean cancel(CallerJobId id, String reason) {
        OpenJob job = open.get(id);
        if (job == null) {
            return false;
        }
        job.cancel();
        if (waiting.remove(job)) {
            end(job, JobOutcome.refused(reason, NO_DISPATCHER_RETRY_MILLIS));
        } else if (job.isAt(host)) {
            dispatcher.cancel(host, id, reason);
        } else {
            job.dispatcher().ifPresent(at -> cancelAt(at.host(), id, reason));
        }
        return true;
    }

    private void cancelAt(HostId at, CallerJobId id, String reason) {
        PoolJobCancel message =
                PoolJobCancel.newBuilder().setJob(id.value()).setReason(reason).build();
        var unused = transport
                .request(directory.address(at), Frame.newBuilder().setPoolJobCancel(message), CANCEL_TIMEOUT_MILLIS)
                .subscribe(reply -> {}, error -> {
                    // The dispatcher ends the job by itself at the caller's deadline, or is gone with it.
                });
    }

    /**
     * The job ends when the connection is gone before its reply: its caller has been told that the end is not known, and may
     * have sent it to another host by now.
     */
    private Single<Frame.Builder> onPeerJob(PeerIdentity from, Frame request) {
        PooledJob job = PoolMessages.decode(request.getPoolJob());
        AtomicBoolean ended = new AtomicBoolean();
        return Single.<Frame.Builder>create(emitter -> context.runOnContext(unused -> {
                    if (emitter.isDisposed()) {
                        return;
                    }
                    dispatcher.submit(from.host(), job, outcome -> {
                        ended.set(true);
                        emitter.onSuccess(Frame.newBuilder().setPoolJobReply(PoolMessages.encode(outcome)));
                    });
                }))
                .doOnDispose(() -> context.runOnContext(unused -> {
                    if (!ended.get()) {
                        dispatcher.cancel(from.host(), job.id(), "the connection to the caller's entry host is gone");
                    }
                }));
    }

    private Single<Frame.Builder> onPeerCancel(PeerIdentity from, Frame request) {
        return Single.create(emitter -> context.runOnContext(unused -> {
            PoolJobCancel cancel = request.getPoolJobCancel();
            dispatcher.cancel(from.host(), new CallerJobId(cancel.getJob()), cancel.getReason());
            emitter.onSuccess(Frame.newBuilder().setPoolJobCancel(cancel));
        }));
    }
}
