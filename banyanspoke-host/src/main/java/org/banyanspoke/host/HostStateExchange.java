package org.banyanspoke.host;

import io.vertx.core.Context;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.HostFailureDetector;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.PeerReply;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.HostStateMessage;
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
    private final MonotonicClock elapsedClock;
    private final ErrorGuard guard;
    private final Map<HostId, Long> clockReadings = new HashMap<>();

    HostStateExchange(
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            HostFailureDetector contacts,
            Supplier<HostState> ownState,
            MonotonicClock elapsedClock,
            ErrorGuard guard) {
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.contacts = contacts;
        this.ownState = ownState;
        this.elapsedClock = elapsedClock;
        this.guard = guard;
        transport.handle(Frame.BodyCase.HOST_STATE, ContextHandlers.runOn(context, (from, request) -> {
            directory.recordAddress(from.host(), from.address());
            onState(request.getHostState());
            return ownStateFrame();
        }));
    }

    /** Returns the latest states of the hosts heard from recently. */
    Collection<HostState> liveStates() {
        return contacts.states();
    }

    boolean isAlive(HostId host) {
        return contacts.isAlive(host);
    }

    /** Returns the time of another host's clock in the last state that was read from it; 0 if there was none. */
    long clockReading(HostId host) {
        return clockReadings.getOrDefault(host, 0L);
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
        var unused = transport
                .request(address, ownStateFrame(), REQUEST_TIMEOUT_MILLIS)
                .subscribe(
                        reply -> context.runOnContext(none -> guard.run("state of a host", () -> onReply(reply))),
                        error -> context.runOnContext(none -> onFailure(host, error)));
    }

    private void onReply(PeerReply reply) {
        onState(reply.frame().getHostState());
    }

    private void onFailure(HostId host, Throwable error) {
        LOG.event(Logger.Level.DEBUG, "state exchange with entry host failed")
                .with("peer", host)
                .with("reason", error.getMessage())
                .write();
    }

    private Frame.Builder ownStateFrame() {
        return Frame.newBuilder().setHostState(PoolMessages.encode(ownState.get(), elapsedClock.millis()));
    }

    private void onState(HostStateMessage message) {
        HostState state = PoolMessages.decode(message);
        clockReadings.put(state.host(), message.getSentMillis());
        if (contacts.recordState(state)) {
            LOG.event(Logger.Level.INFO, "entry host alive, state received")
                    .with("peer", state.host())
                    .with("registration", state.registration())
                    .write();
        }
    }
}
