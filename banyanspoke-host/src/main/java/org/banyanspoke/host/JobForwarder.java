package org.banyanspoke.host;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.JobRouter;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.EntryJobs;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.SiteConfig;
import org.banyanspoke.peer.PeerException;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.PoolJobCancel;

/** Hands callers' jobs to the dispatcher that can begin them soonest, here or on another host, and takes those of others. */
final class JobForwarder implements EntryJobs {
    /** A dispatcher answers at the caller's deadline at the latest; this is for the way. */
    private static final long REPLY_MARGIN_MILLIS = 300;

    private static final long CANCEL_TIMEOUT_MILLIS = 500;
    /** A dispatcher that is lost has a successor after this time. */
    private static final long NO_DISPATCHER_RETRY_MILLIS = 1_000;

    private final HostId host;
    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final HostLinks links;
    private final ZoneDispatcher dispatcher;
    private final ConfigWatch config;
    private final JobRouter router;
    private final EntryObserver observer;
    private final Map<CallerJobId, HostId> open = new HashMap<>();
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
            EntryObserver observer) {
        this.host = host;
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.links = links;
        this.dispatcher = dispatcher;
        this.config = config;
        this.router = router;
        this.observer = observer;
        transport.handle(Frame.BodyCase.POOL_JOB, this::onPeerJob);
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

    @Override
    public boolean ready() {
        return !leaving && config.config().isPresent();
    }

    @Override
    public Optional<SiteConfig> config() {
        return config.config();
    }

    @Override
    public int pending(String queue) {
        // Jobs whose callers wait for the end are not stored, so none is accepted and waiting.
        return 0;
    }

    @Override
    public void submit(PooledJob job, Consumer<JobOutcome> whenEnded) {
        Optional<HostState> target = router.choose(job, dispatchers());
        Consumer<JobOutcome> answer = observer.observe(job, target, config.config(), whenEnded);
        if (target.isEmpty()) {
            answer.accept(JobOutcome.refused("no dispatcher is known", NO_DISPATCHER_RETRY_MILLIS));
            return;
        }
        HostId to = target.get().host();
        open.put(job.id(), to);
        Consumer<JobOutcome> ended = outcome -> {
            open.remove(job.id(), to);
            answer.accept(outcome);
        };
        if (to.equals(host)) {
            dispatcher.submit(host, job, ended);
        } else {
            forward(to, job, ended);
        }
    }

    private Collection<HostState> dispatchers() {
        Collection<HostState> all = new ArrayList<>(links.heard());
        all.add(dispatcher.state());
        return all;
    }

    private void forward(HostId to, PooledJob job, Consumer<JobOutcome> ended) {
        Frame.Builder request = Frame.newBuilder().setPoolJob(PoolMessages.encode(job));
        var unused = transport
                .request(directory.address(to), request, job.patienceMillis() + REPLY_MARGIN_MILLIS)
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
        HostId at = open.get(id);
        if (at == null) {
            return false;
        }
        if (at.equals(host)) {
            dispatcher.cancel(host, id, reason);
        } else {
            PoolJobCancel message = PoolJobCancel.newBuilder()
                    .setJob(id.value())
                    .setReason(reason)
                    .build();
            var unused = transport
                    .request(directory.address(at), Frame.newBuilder().setPoolJobCancel(message), CANCEL_TIMEOUT_MILLIS)
                    .subscribe(reply -> {}, error -> {
                        // The dispatcher ends the job by itself at the caller's deadline, or is gone with it.
                    });
        }
        return true;
    }

    private Single<Frame.Builder> onPeerJob(PeerIdentity from, Frame request) {
        return Single.create(emitter -> context.runOnContext(unused -> dispatcher.submit(
                from.host(),
                PoolMessages.decode(request.getPoolJob()),
                outcome -> emitter.onSuccess(Frame.newBuilder().setPoolJobReply(PoolMessages.encode(outcome))))));
    }

    private Single<Frame.Builder> onPeerCancel(PeerIdentity from, Frame request) {
        return Single.create(emitter -> context.runOnContext(unused -> {
            PoolJobCancel cancel = request.getPoolJobCancel();
            dispatcher.cancel(from.host(), new CallerJobId(cancel.getJob()), cancel.getReason());
            emitter.onSuccess(Frame.newBuilder().setPoolJobCancel(cancel));
        }));
    }
}
