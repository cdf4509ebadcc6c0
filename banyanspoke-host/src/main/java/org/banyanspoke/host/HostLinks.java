package org.banyanspoke.host;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import java.util.Collection;
import java.util.Map;
import java.util.function.Supplier;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.HostFailureDetector;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.PeerReply;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;
import org.jboss.logging.Logger;

/** Exchanges states with the other hosts. */
final class HostLinks {
    private static final long TIMEOUT_MILLIS = 400;
    private static final EventLog LOG = EventLog.of(HostLinks.class);

    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final HostFailureDetector contacts;
    private final Supplier<HostState> self;

    HostLinks(
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            HostFailureDetector contacts,
            Supplier<HostState> self) {
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.contacts = contacts;
        this.self = self;
        transport.handle(
                Frame.BodyCase.HOST_STATE,
                (from, request) -> Single.create(emitter -> context.runOnContext(unused -> {
                    directory.learn(from.host(), from.address());
                    hear(PoolMessages.decode(request.getHostState()));
                    emitter.onSuccess(Frame.newBuilder().setHostState(PoolMessages.encode(self.get())));
                })));
    }

    /** Returns the states of the hosts that have been heard lately. */
    Collection<HostState> heard() {
        return contacts.states();
    }

    boolean hears(HostId host) {
        return contacts.isAlive(host);
    }

    /** Forgets the hosts that have been silent for too long, and exchanges states with those whose turn it is. */
    void tick() {
        contacts.removeSilent(self.get())
                .forEach((host, silentMillis) -> LOG.event(Logger.Level.WARN, "an entry host is silent")
                        .with("peer", host)
                        .with("silentMillis", silentMillis)
                        .write());
        for (Map.Entry<HostId, String> other : directory.others()) {
            if (contacts.isExchangeDue(other.getKey())) {
                ask(other.getKey(), other.getValue());
            }
        }
    }

    /** Tells all hosts at once, because something has changed that they should not wait for. */
    void tellAll() {
        directory.others().forEach(other -> ask(other.getKey(), other.getValue()));
    }

    private void ask(HostId host, String address) {
        contacts.recordRequest(host);
        Frame.Builder request = Frame.newBuilder().setHostState(PoolMessages.encode(self.get()));
        var unused = transport
                .request(address, request, TIMEOUT_MILLIS)
                .subscribe(
                        reply -> context.runOnContext(none -> onReply(reply)),
                        error -> context.runOnContext(none -> onFailure(host, error)));
    }

    private void onReply(PeerReply reply) {
        hear(PoolMessages.decode(reply.frame().getHostState()));
    }

    private void onFailure(HostId host, Throwable error) {
        LOG.event(Logger.Level.DEBUG, "no state from an entry host")
                .with("peer", host)
                .with("reason", error.getMessage())
                .write();
    }

    private void hear(HostState state) {
        if (contacts.recordState(state)) {
            LOG.event(Logger.Level.INFO, "an entry host is heard")
                    .with("peer", state.host())
                    .with("registration", state.registration())
                    .write();
        }
    }
}
