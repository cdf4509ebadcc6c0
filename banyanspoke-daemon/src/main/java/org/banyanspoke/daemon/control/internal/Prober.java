package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.membership.Gossip;
import org.banyanspoke.core.membership.ProbeSchedule;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.Probe;
import org.banyanspoke.peer.generated.ProbeAck;
import org.banyanspoke.peer.generated.ProbeRequest;
import org.jboss.logging.Logger;

/** Sends the probes that {@link Swim} schedules and answers probes from other members. */
public final class Prober {
    private static final Logger LOG = Logger.getLogger(Prober.class);

    /** Same fanout as for a ticket push. */
    private static final int GOSSIP_FANOUT = 4;

    private final Swim swim;
    private final PeerRpc peers;
    private final Consumer<Gossip> onGossip;
    private final CompositeDisposable running = new CompositeDisposable();

    /**
     * @param swim schedules probes
     * @param peers sends requests to members
     * @param onGossip receives the gossip that members attach
     */
    public Prober(Swim swim, PeerRpc peers, Consumer<Gossip> onGossip) {
        this.swim = swim;
        this.peers = peers;
        this.onGossip = onGossip;
    }

    /** Registers the handlers of probes. */
    public void start() {
        peers.handle(Frame.BodyCase.PROBE, this::onProbe);
        peers.handle(Frame.BodyCase.PROBE_REQUEST, this::onProbeRequest);
    }

    /** Cancels pending probes. */
    public void stop() {
        running.dispose();
    }

    /** Sends the probes that are due. */
    public void tick() {
        for (ProbeSchedule.Action action : swim.tick()) {
            if (action instanceof ProbeSchedule.Direct direct) {
                probeDirectly(direct.target());
            } else if (action instanceof ProbeSchedule.Indirect indirect) {
                indirect.proxies().forEach(proxy -> probeIndirectly(proxy, indirect.target()));
            }
        }
    }

    /** Sends pending updates to a few random members immediately. */
    public void sendPendingUpdates() {
        peers.randomLive(GOSSIP_FANOUT)
                .forEach(member -> probeDirectly(member.config().id()));
    }

    private void probeDirectly(HostId target) {
        running.add(probe(target, ProbeSchedule.PERIOD_MILLIS)
                .subscribe(reached -> swim.onProbeAck(target), e -> LOG.debugf("probe of %s failed: %s", target, e)));
    }

    private void probeIndirectly(HostId proxy, HostId target) {
        Frame.Builder frame = Frame.newBuilder()
                .setProbeRequest(
                        ProbeRequest.newBuilder().setHost(target.value()).setGossip(gossipFor(proxy)));
        running.add(send(proxy, frame, ProbeSchedule.PERIOD_MILLIS)
                .filter(ProbeAck::getReached)
                .subscribe(
                        ack -> swim.onProbeAck(target),
                        e -> LOG.debugf("indirect probe through %s failed: %s", proxy, e)));
    }

    private Single<ProbeAck> probe(HostId target, long timeoutMillis) {
        Frame.Builder frame = Frame.newBuilder().setProbe(Probe.newBuilder().setGossip(gossipFor(target)));
        return send(target, frame, timeoutMillis);
    }

    private Single<ProbeAck> send(HostId target, Frame.Builder frame, long timeoutMillis) {
        return Maybe.fromOptional(peers.address(target))
                .toSingle()
                .flatMap(address -> peers.request(address, frame, timeoutMillis))
                .map(reply -> reply.frame().getProbeAck())
                .doOnSuccess(ack -> onGossip.accept(PeerMessages.fromMessage(ack.getGossip())));
    }

    private Single<Frame.Builder> onProbe(PeerIdentity from, Frame frame) {
        return Single.just(ack(frame.getProbe().getGossip(), true));
    }

    private Single<Frame.Builder> onProbeRequest(PeerIdentity from, Frame frame) {
        ProbeRequest request = frame.getProbeRequest();
        return probe(new HostId(request.getHost()), ProbeSchedule.PERIOD_MILLIS - ProbeSchedule.DIRECT_TIMEOUT_MILLIS)
                .map(ack -> true)
                .onErrorReturnItem(false)
                .map(reached -> ack(request.getGossip(), reached));
    }

    private Frame.Builder ack(org.banyanspoke.peer.generated.Gossip message, boolean reached) {
        Gossip gossip = PeerMessages.fromMessage(message);
        onGossip.accept(gossip);
        Gossip answer = swim.replyTo(gossip.sender());
        return Frame.newBuilder()
                .setProbeAck(ProbeAck.newBuilder().setReached(reached).setGossip(PeerMessages.toMessage(answer)));
    }

    private org.banyanspoke.peer.generated.Gossip gossipFor(HostId receiver) {
        return PeerMessages.toMessage(swim.gossipFor(receiver));
    }
}
