package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.membership.Member;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.peer.PeerHandler;
import org.banyanspoke.peer.PeerReply;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.generated.Frame;

/** Sends requests to members and runs results and handlers on the control thread. */
public final class PeerRpc {
    private final PeerTransport transport;
    private final Swim swim;
    private final Scheduler controlThread;
    private final UniformRandomProvider random;

    /**
     * @param transport carries the messages
     * @param swim provides members
     * @param controlThread runs results and handlers
     * @param random selects members
     */
    public PeerRpc(PeerTransport transport, Swim swim, Scheduler controlThread, UniformRandomProvider random) {
        this.transport = transport;
        this.swim = swim;
        this.controlThread = controlThread;
        this.random = random;
    }

    /** Sends a request to an address; fails with {@link org.banyanspoke.peer.PeerException}. */
    Single<PeerReply> request(String address, Frame.Builder request, long timeoutMillis) {
        return transport.request(address, request, timeoutMillis).observeOn(controlThread);
    }

    /** Registers a handler that runs on the control thread. */
    void handle(Frame.BodyCase type, PeerHandler handler) {
        transport.handle(
                type,
                (from, frame) -> Single.defer(() -> handler.handle(from, frame)).subscribeOn(controlThread));
    }

    /** Returns the address of a member of the roster. */
    Optional<String> address(HostId host) {
        return swim.table().find(host).map(member -> member.config().peerAddress());
    }

    /** Returns up to {@code count} random live members. */
    public List<Member> randomLive(int count) {
        List<Member> live = new ArrayList<>(swim.table().live());
        List<Member> chosen = new ArrayList<>();
        while (chosen.size() < count && !live.isEmpty()) {
            chosen.add(live.remove(random.nextInt(live.size())));
        }
        return chosen;
    }
}
