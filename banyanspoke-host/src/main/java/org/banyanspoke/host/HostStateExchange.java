package org.banyanspoke.host;

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

/** Exchanges host states with the other entry hosts. */
final class HostStateExchange {
    private static final long REQUEST_TIMEOUT_MILLIS = 400;
    private static final EventLog LOG = EventLog.of(HostStateExchange.class);

    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final HostFailureDetector contacts;
    private final Supplier<HostState> ownState;
    private final ErrorGuard guard;

    HostStateExchange(
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            HostFailureDetector contacts,
            Supplier<HostState> ownState,
            ErrorGuard guard) {
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.contacts = contacts;
        this.ownState = ownState;
        this.guard = guard;
        transport.handle(Frame.BodyCase.HOST_STATE, ContextHandlers.runOn(context, (from, request) -> {
            directory.recordAddress(from.host(), from.address());
            onState(PoolMessages.decode(request.getHostState()));
            return Frame.newBuilder().setHostState(PoolMessages.encode(ownState.get()));
        }));
    }

    /** Returns the latest states of the hosts heard from recently. */
    Collection<HostState> liveStates() {
        return contacts.states();
    }

    boolean isAlive(HostId host) {
        return contacts.isAlive(host);
    }

    /** Drops hosts that have exceeded the silence timeout, and requests the state of each host that is due. */
    void tick() {
        contacts.removeSilent(ownState.get())
                .forEach((host, silentMillis) -> LOG.event(Logger.Level.WARN, "entry host silent, considered lost")
                        .with("peer", host)
                        .with("silentMillis", silentMillis)
                        .write());
        for (Map.Entry<HostId, String> other : directory.others()) {
            if (contacts.isExchangeDue(other.getKey())) {
                exchange(other.getKey(), other.getValue());
            }
        }
    }

    /** Sends the state of this host to all other hosts at once, without waiting for the next regular exchange. */
    void broadcast() {
        directory.others().forEach(other -> exchange(other.getKey(), other.getValue()));
    }

    private void exchange(HostId host, String address) {
        contacts.recordRequest(host);
        Frame.Builder request = Frame.newBuilder().setHostState(PoolMessages.encode(ownState.get()));
        var unused = transport
                .request(address, request, REQUEST_TIMEOUT_MILLIS)
                .subscribe(
                        reply -> context.runOnContext(none -> guard.run("state of a host", () -> onReply(reply))),
                        error -> context.runOnContext(none -> onFailure(host, error)));
    }

    private void onReply(PeerReply reply) {
        onState(PoolMessages.decode(reply.frame().getHostState()));
    }

    private void onFailure(HostId host, Throwable error) {
        LOG.event(Logger.Level.DEBUG, "state exchange with entry host failed")
                .with("peer", host)
                .with("reason", error.getMessage())
                .write();
    }

    private void onState(HostState state) {
        if (contacts.recordState(state)) {
            LOG.event(Logger.Level.INFO, "entry host alive, state received")
                    .with("peer", state.host())
                    .with("registration", state.registration())
                    .write();
        }
    }
}
