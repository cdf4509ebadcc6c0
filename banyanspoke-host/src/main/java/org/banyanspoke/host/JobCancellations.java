package org.banyanspoke.host;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.CancellationTargets;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.PoolJobCancel;
import org.jboss.logging.Logger;

/** Sends cancellations of jobs to the hosts that may know them, and applies those of other hosts. */
final class JobCancellations {
    /** A caller gets its response within 1 s, so a host that does not reply sooner is skipped. */
    private static final long REPLY_TIMEOUT_MILLIS = 500;

    private static final EventLog LOG = EventLog.of(JobCancellations.class);

    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final HostStateExchange exchange;
    private final ZoneDispatcher dispatcher;
    private final BiPredicate<CallerJobId, String> cancelHere;

    /**
     * Replies of the hosts that were asked to cancel a job.
     *
     * @param asked number of hosts asked
     * @param replied number of hosts that replied in time
     * @param known whether any of them knew the job
     */
    record Replies(int asked, int replied, boolean known) {
        private Replies with(Replies other) {
            return new Replies(asked + other.asked, replied + other.replied, known || other.known);
        }
    }

    /**
     * @param cancelHere cancels a job for a reason on this host; returns whether this host knew it
     */
    JobCancellations(
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            HostStateExchange exchange,
            ZoneDispatcher dispatcher,
            BiPredicate<CallerJobId, String> cancelHere) {
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.exchange = exchange;
        this.dispatcher = dispatcher;
        this.cancelHere = cancelHere;
        transport.handle(Frame.BodyCase.POOL_JOB_CANCEL, ContextHandlers.runOn(context, this::onCancel));
    }

    /** Tells a dispatcher that this host's caller no longer waits for a job. */
    void release(HostId host, CallerJobId job, String reason) {
        send(host, message(job, reason, false));
    }

    /** Cancels a job at a dispatcher, for the callers of all hosts. */
    void cancelAt(HostId host, CallerJobId job, String reason) {
        send(host, message(job, reason, true));
    }

    /** Without a reply, the dispatcher ends the job at its next check of the contact with the caller. */
    private void send(HostId host, PoolJobCancel message) {
        var unused = request(host, message).subscribe();
    }

    /**
     * Cancels a job at all hosts that may know it.
     *
     * @param onReplies called exactly once
     */
    void cancelEverywhere(CallerJobId job, String reason, Consumer<Replies> onReplies) {
        PoolJobCancel message = message(job, reason, true);
        List<Single<Replies>> requests = new ArrayList<>();
        for (HostId host : targets()) {
            requests.add(request(host, message));
        }
        var unused = Observable.fromIterable(requests)
                .flatMapSingle(request -> request)
                .reduce(new Replies(0, 0, false), Replies::with)
                .subscribe(replies -> context.runOnContext(none -> onReplies.accept(replies)));
    }

    private Set<HostId> targets() {
        return CancellationTargets.choose(dispatcher.state(), exchange.liveStates(), directory.otherHosts());
    }

    /** Completes normally: a host that does not reply is skipped. */
    private Single<Replies> request(HostId host, PoolJobCancel message) {
        return transport
                .request(directory.address(host), Frame.newBuilder().setPoolJobCancel(message), REPLY_TIMEOUT_MILLIS)
                .map(reply -> new Replies(1, 1, reply.frame().getPoolJobCancel().getKnown()))
                .onErrorReturn(error -> {
                    logFailure(host, message, error);
                    return new Replies(1, 0, false);
                });
    }

    private static void logFailure(HostId host, PoolJobCancel message, Throwable error) {
        LOG.event(Logger.Level.DEBUG, "cancellation of a job not confirmed")
                .with("peer", host)
                .with("job", message.getJob())
                .with("reason", error.getMessage())
                .write();
    }

    private static PoolJobCancel message(CallerJobId job, String reason, boolean requested) {
        return PoolJobCancel.newBuilder()
                .setJob(job.value())
                .setReason(reason)
                .setRequested(requested)
                .build();
    }

    private Frame.Builder onCancel(PeerIdentity from, Frame request) {
        PoolJobCancel cancel = request.getPoolJobCancel();
        CallerJobId job = new CallerJobId(cancel.getJob());
        boolean known = false;
        if (cancel.getRequested()) {
            known = cancelHere.test(job, cancel.getReason());
        } else {
            dispatcher.cancel(from.host(), job, cancel.getReason());
        }
        return Frame.newBuilder().setPoolJobCancel(cancel.toBuilder().setKnown(known));
    }
}
