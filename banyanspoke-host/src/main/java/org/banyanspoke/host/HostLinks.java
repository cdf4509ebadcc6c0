package org.banyanspoke.host;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.PeerReply;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;
import org.jboss.logging.Logger;

/** Exchanges states with the other hosts and knows which of them have been heard lately. */
final class HostLinks {
    /** A dispatcher or the caller of one that has not been heard for this long is taken as gone: two lost exchanges. */
    private static final long SILENCE_MILLIS = 700;

    private static final long PERIOD_MILLIS = 200;
    /** Two hosts of a zone that do not dispatch need each other only when their dispatcher is lost, */
    private static final long ZONE_PERIOD_MILLIS = 1_000;

    private static final long ZONE_SILENCE_MILLIS = 2_500;
    /** and those of two zones not at all: who begins to dispatch tells all. */
    private static final long FAR_PERIOD_MILLIS = 10_000;

    private static final long FAR_SILENCE_MILLIS = 25_000;
    /** Hosts that do not answer are tried this often. */
    private static final long SILENT_PERIOD_MILLIS = 1_000;

    private static final long TIMEOUT_MILLIS = 400;
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;
    private static final EventLog LOG = EventLog.of(HostLinks.class);

    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final MonotonicClock clock;
    private final Supplier<HostState> self;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private final Map<HostId, Long> askedMillis = new HashMap<>();
    private boolean attentive;
    private long attentiveSinceMillis = NEVER_MILLIS;

    private record Heard(HostState state, long atMillis) {}

    HostLinks(
            PeerTransport transport,
            Context context,
            HostDirectory directory,
            MonotonicClock clock,
            Supplier<HostState> self) {
        this.transport = transport;
        this.context = context;
        this.directory = directory;
        this.clock = clock;
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
        List<HostState> states = new ArrayList<>();
        for (Heard each : heard.values()) {
            states.add(each.state());
        }
        return states;
    }

    boolean hears(HostId host) {
        return heard.containsKey(host);
    }

    /**
     * Exchanges states with the hosts whose turn it is, and forgets those that have been silent for too long. One exchange serves
     * both sides, so the host that asks first spares the other the question.
     */
    void tick() {
        long nowMillis = clock.millis();
        HostState own = self.get();
        noteDispatcher(own, nowMillis);
        heard.values().removeIf(each -> isSilent(each, own, nowMillis));
        for (Map.Entry<HostId, String> other : directory.others()) {
            HostId host = other.getKey();
            Heard last = heard.get(host);
            long heardMillis = last == null ? NEVER_MILLIS : last.atMillis();
            long sinceMillis = Math.max(askedMillis.getOrDefault(host, NEVER_MILLIS), heardMillis);
            if (nowMillis - sinceMillis >= periodMillis(last, own)) {
                ask(host, other.getValue());
            }
        }
    }

    /** Notes since when this host dispatches, or its zone has no dispatcher: before that, long silences were allowed. */
    private void noteDispatcher(HostState own, long nowMillis) {
        boolean known = heard.values().stream()
                .anyMatch(each ->
                        each.state().dispatching() && each.state().zone().equals(own.zone()));
        boolean now = own.dispatching() || !known;
        if (now && !attentive) {
            attentiveSinceMillis = nowMillis;
        }
        attentive = now;
    }

    /** Whether the silence of a host must be noticed soon. */
    private boolean matters(Heard last, HostState own) {
        return last.state().dispatching()
                || own.dispatching()
                || (attentive && last.state().zone().equals(own.zone()));
    }

    private long periodMillis(Heard last, HostState own) {
        if (last == null) {
            return SILENT_PERIOD_MILLIS;
        }
        if (matters(last, own)) {
            return PERIOD_MILLIS;
        }
        return last.state().zone().equals(own.zone()) ? ZONE_PERIOD_MILLIS : FAR_PERIOD_MILLIS;
    }

    private boolean isSilent(Heard last, HostState own, long nowMillis) {
        boolean matters = matters(last, own);
        long fromMillis = matters && !last.state().dispatching()
                ? Math.max(last.atMillis(), attentiveSinceMillis)
                : last.atMillis();
        long idleMillis = last.state().zone().equals(own.zone()) ? ZONE_SILENCE_MILLIS : FAR_SILENCE_MILLIS;
        if (nowMillis - fromMillis <= (matters ? SILENCE_MILLIS : idleMillis)) {
            return false;
        }
        LOG.event(Logger.Level.WARN, "an entry host is silent")
                .with("peer", last.state().host())
                .with("silentMillis", nowMillis - last.atMillis())
                .write();
        return true;
    }

    /** Tells all hosts at once, because something has changed that they should not wait for. */
    void tellAll() {
        directory.others().forEach(other -> ask(other.getKey(), other.getValue()));
    }

    private void ask(HostId host, String address) {
        askedMillis.put(host, clock.millis());
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
        Heard before = heard.put(state.host(), new Heard(state, clock.millis()));
        if (before == null) {
            LOG.event(Logger.Level.INFO, "an entry host is heard")
                    .with("peer", state.host())
                    .with("registration", state.registration())
                    .write();
        }
    }
}
