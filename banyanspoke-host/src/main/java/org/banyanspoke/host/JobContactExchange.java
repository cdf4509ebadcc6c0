package org.banyanspoke.host;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;
import org.jboss.logging.Logger;

/**
 * Asks the entry hosts of this dispatcher's jobs which of them they still wait for, and answers the same question of
 * other dispatchers.
 */
final class JobContactExchange {
    /** Longer than the period of checks, so that a slow reply counts. */
    private static final long REPLY_TIMEOUT_MILLIS = 400;

    private static final EventLog LOG = EventLog.of(JobContactExchange.class);

    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final JobContacts contacts;
    private final ZoneDispatcher dispatcher;
    private final InputProgress input;
    private final BiPredicate<CallerJobId, HostId> isAwaited;

    /**
     * @param isAwaited whether a caller of this host waits for a job that a dispatcher has
     */
    JobContactExchange(
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            JobContacts contacts,
            ZoneDispatcher dispatcher,
            InputProgress input,
            BiPredicate<CallerJobId, HostId> isAwaited) {
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.contacts = contacts;
        this.dispatcher = dispatcher;
        this.input = input;
        this.isAwaited = isAwaited;
        transport.handle(Frame.BodyCase.POOL_JOB_CHECK, this::onCheck);
    }

    /** Sends the checks that are due. */
    void tick() {
        contacts.takeDueChecks().forEach(this::send);
    }

    /** Checks the contact with the entry hosts of a job at once if it is due. */
    void checkIfDue(CallerJobId job) {
        if (contacts.isCheckDue(job)) {
            tick();
        }
    }

    private void send(JobContacts.Check check) {
        Frame.Builder request = Frame.newBuilder().setPoolJobCheck(PoolMessages.encode(check.jobs()));
        var unused = transport
                .request(directory.address(check.host()), request, REPLY_TIMEOUT_MILLIS)
                .subscribe(
                        reply -> context.runOnContext(none -> onReply(check, reply.frame())),
                        error -> context.runOnContext(none -> onFailure(check, error)));
    }

    private void onReply(JobContacts.Check check, Frame reply) {
        Set<CallerJobId> awaited;
        try {
            awaited = PoolMessages.decodeCheck(reply);
        } catch (IllegalArgumentException e) {
            onFailure(check, e);
            return;
        }
        dispatcher.onContact(check, awaited);
    }

    /** The check is repeated; meanwhile no task of these jobs is started. */
    private static void onFailure(JobContacts.Check check, Throwable error) {
        LOG.event(Logger.Level.DEBUG, "check of jobs failed")
                .with("peer", check.host())
                .with("jobs", check.jobs().size())
                .with("reason", error.getMessage())
                .write();
    }

    /** A caller's connection may have been closed while this process was suspended, so its input is read first. */
    private Single<Frame.Builder> onCheck(PeerIdentity from, Frame request) {
        return Single.create(emitter -> context.runOnContext(unused -> {
            if (input.isBehind()) {
                input.afterReading(() -> context.runOnContext(none -> answer(from.host(), request, emitter)));
            } else {
                answer(from.host(), request, emitter);
            }
        }));
    }

    private void answer(HostId checkedBy, Frame request, SingleEmitter<Frame.Builder> emitter) {
        try {
            List<CallerJobId> awaited = new ArrayList<>();
            for (CallerJobId job : PoolMessages.decodeCheck(request)) {
                if (isAwaited.test(job, checkedBy)) {
                    awaited.add(job);
                }
            }
            emitter.onSuccess(Frame.newBuilder().setPoolJobCheck(PoolMessages.encode(awaited)));
        } catch (RuntimeException e) {
            emitter.tryOnError(e);
        }
    }
}
