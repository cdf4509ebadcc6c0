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
    /** A host that has not been heard for this long is taken as gone: two lost exchanges. */
    private static final long SILENCE_MILLIS = 700;

    private static final long PERIOD_MILLIS = 200;
    /** Hosts that do not answer are tried this often. */
    private static final long SILENT_PERIOD_MILLIS = 1_000;

    private static final long TIMEOUT_MILLIS = 400;
    private static final EventLog LOG = EventLog.of(HostLinks.class);

    private final PeerTransport transport;
    private final Context context;
    private final HostDirectory directory;
    private final MonotonicClock clock;
    private final Supplier<HostState> self;
    private final Map<HostId, Heard> heard = new HashMap<>();
    private final Map<HostId, Long> askedMillis = new HashMap<>();

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

    /** Asks the hosts whose turn it is, and forgets those that have been silent for too long. */
    void tick() {
        long nowMillis = clock.millis();
        heard.entrySet().removeIf(each -> {
            boolean silent = nowMillis - each.getValue().atMillis() > SILENCE_MILLIS;
            if (silent) {
                LOG.event(Logger.Level.WARN, "an entry host is silent")
                        .with("peer", each.getKey())
                        .with("silentMillis", nowMillis - each.getValue().atMillis())
                        .write();
            }
            return silent;
        });
        for (Map.Entry<HostId, String> other : directory.others()) {
            long period = heard.containsKey(other.getKey()) ? PERIOD_MILLIS : SILENT_PERIOD_MILLIS;
            Long asked = askedMillis.get(other.getKey());
            if (asked == null || nowMillis - asked >= period) {
                askedMillis.put(other.getKey(), nowMillis);
                ask(other.getKey(), other.getValue());
            }
        }
    }

    /** Tells all hosts at once, because something has changed that they should not wait for. */
    void tellAll() {
        directory.others().forEach(other -> ask(other.getKey(), other.getValue()));
    }

    private void ask(HostId host, String address) {
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
