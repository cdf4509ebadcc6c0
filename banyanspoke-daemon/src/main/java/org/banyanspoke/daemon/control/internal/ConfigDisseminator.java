package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.List;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.config.AcceptedTicket;
import org.banyanspoke.core.config.ConfigSnapshot;
import org.banyanspoke.core.membership.Gossip;
import org.banyanspoke.core.membership.Member;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.generated.ConfigReply;
import org.banyanspoke.peer.generated.ConfigRequest;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.TicketPush;
import org.banyanspoke.peer.generated.TicketPushAck;
import org.jboss.logging.Logger;

/** Disseminates accepted tickets to other members and fetches newer configurations from them. */
public final class ConfigDisseminator {
    private static final Logger LOG = Logger.getLogger(ConfigDisseminator.class);

    /** Receivers of each push; 5 hops reach 180 members. */
    private static final int PUSH_FANOUT = 4;

    private static final long PUSH_TIMEOUT_MILLIS = 1_000;

    /** A full state at the design size is about 0.4 MB. */
    private static final long PULL_TIMEOUT_MILLIS = 2_000;

    /** Above this size a snapshot is smaller than the tickets; also keeps the reply far below the frame limit. */
    private static final int MAX_TICKET_BYTES = 1024 * 1024;

    private final ConfigHolder config;
    private final ConfigConfirmation confirmation;
    private final Swim swim;
    private final PeerRpc peers;
    private final CompositeDisposable running = new CompositeDisposable();
    private boolean pulling;

    /**
     * @param config the configuration
     * @param confirmation notified when a peer has confirmed the configuration number
     * @param swim members and gossip
     * @param peers sends requests to members
     */
    public ConfigDisseminator(ConfigHolder config, ConfigConfirmation confirmation, Swim swim, PeerRpc peers) {
        this.config = config;
        this.confirmation = confirmation;
        this.swim = swim;
        this.peers = peers;
    }

    /** Registers the handlers of ticket pushes and configuration requests. */
    public void start() {
        peers.handle(Frame.BodyCase.TICKET_PUSH, this::onPush);
        peers.handle(Frame.BodyCase.CONFIG_REQUEST, this::onRequest);
    }

    /** Cancels pending requests. */
    public void stop() {
        running.dispose();
    }

    /** Pushes a ticket that this host has just accepted to random live members. */
    public void push(AcceptedTicket accepted) {
        Frame.Builder frame = Frame.newBuilder().setTicketPush(PeerMessages.toMessage(accepted));
        for (Member member : peers.randomLive(PUSH_FANOUT)) {
            running.add(peers.request(member.config().peerAddress(), frame, PUSH_TIMEOUT_MILLIS)
                    .subscribe(reply -> {}, e -> LOG.debugf("ticket push failed: %s", e.getMessage())));
        }
    }

    /** Applies gossip that a member attached to a message and fetches its configuration if that is newer. */
    public void onGossip(Gossip gossip) {
        swim.onGossip(gossip);
        HostId sender = gossip.sender().host();
        if (gossip.configNumber() > config.state().number()) {
            peers.address(sender).ifPresent(this::pullOnce);
        }
    }

    /** Fetches the configuration of a peer if it is newer, and its full membership state. */
    public Completable pull(String address) {
        ConfigRequest request = ConfigRequest.newBuilder()
                .setKnownNumber(config.state().number())
                .setWithMembers(true)
                .setGossip(PeerMessages.toMessage(
                        swim.gossipFor(swim.table().self().host())))
                .build();
        return peers.request(address, Frame.newBuilder().setConfigRequest(request), PULL_TIMEOUT_MILLIS)
                .doOnSuccess(reply -> applyReply(reply.frame().getConfigReply()))
                .ignoreElement();
    }

    private void pullOnce(String address) {
        if (pulling) {
            return;
        }
        pulling = true;
        running.add(pull(address)
                .doFinally(() -> pulling = false)
                .subscribe(() -> {}, e -> LOG.debugf("configuration pull failed: %s", e.getMessage())));
    }

    private void applyReply(ConfigReply reply) {
        reply.getTicketsList().stream().map(PeerMessages::fromMessage).forEach(this::accept);
        if (!reply.getSnapshot().isEmpty()) {
            config.onPeerSnapshot(PeerMessages.parse(reply.getSnapshot(), ConfigSnapshot.class));
        }
        swim.onGossip(PeerMessages.fromMessage(reply.getGossip()));
        if (reply.getConfirmed() && config.state().number() >= reply.getConfigNumber()) {
            confirmation.onConfirmed();
        }
    }

    private boolean accept(AcceptedTicket accepted) {
        if (!config.onPeerTicket(accepted)) {
            return false;
        }
        swim.servers().onTicket(accepted.ticket());
        push(accepted);
        return true;
    }

    /** Fetches missing tickets from the sender if the pushed ticket is not the next one. */
    private Single<Frame.Builder> onPush(PeerIdentity from, Frame frame) {
        AcceptedTicket accepted = PeerMessages.fromMessage(frame.getTicketPush());
        boolean missed =
                !accept(accepted) && accepted.ticket().number() > config.state().number();
        if (missed) {
            pullOnce(from.address());
        }
        return Single.just(Frame.newBuilder()
                .setTicketPushAck(TicketPushAck.newBuilder()
                        .setConfigNumber(config.state().number())));
    }

    private Single<Frame.Builder> onRequest(PeerIdentity from, Frame frame) {
        ConfigRequest request = frame.getConfigRequest();
        Gossip gossip = PeerMessages.fromMessage(request.getGossip());
        onGossip(gossip);
        Gossip answer = request.getWithMembers() ? swim.fullState() : swim.replyTo(gossip.sender());
        ConfigReply.Builder reply = ConfigReply.newBuilder()
                .setConfigNumber(config.state().number())
                .setNextOffset(config.tracker().nextOffset())
                .setConfirmed(confirmation.isConfirmed())
                .setGossip(PeerMessages.toMessage(answer));
        addNewer(request.getKnownNumber(), reply);
        return Single.just(Frame.newBuilder().setConfigReply(reply));
    }

    private void addNewer(long knownNumber, ConfigReply.Builder reply) {
        if (knownNumber >= config.state().number()) {
            return;
        }
        List<TicketPush> tickets = config.tracker().ticketsAfter(knownNumber).stream()
                .map(PeerMessages::toMessage)
                .toList();
        long bytes =
                tickets.stream().mapToLong(ticket -> ticket.getTicket().size()).sum();
        if (tickets.isEmpty() || bytes > MAX_TICKET_BYTES) {
            reply.setSnapshot(PeerMessages.json(config.tracker().snapshot()));
        } else {
            reply.addAllTickets(tickets);
        }
    }
}
