package org.banyanspoke.standins.relay;

import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.banyanspoke.standins.Exchanges;

/** One link of a relay with its open connections. Used on the event loop of the relay only. */
final class RelayLink {
    private final NetClient client;
    private final SocketAddress target;
    private final Set<NetSocket> sockets = new HashSet<>();
    /** Connections accepted while the link was silent; they reach the target when it opens. */
    private final Set<NetSocket> pending = new HashSet<>();

    private LinkState state = LinkState.OPEN;

    RelayLink(NetClient client, SocketAddress target) {
        this.client = client;
        this.target = target;
    }

    LinkState state() {
        return state;
    }

    void accept(NetSocket near) {
        if (state == LinkState.RESET) {
            Exchanges.ignore(near.close());
            return;
        }
        near.pause();
        if (state == LinkState.SILENT) {
            pending.add(near);
        } else {
            connect(near);
        }
    }

    private void connect(NetSocket near) {
        client.connect(target).onSuccess(far -> join(near, far)).onFailure(e -> Exchanges.ignore(near.close()));
    }

    void set(LinkState next) {
        state = next;
        for (NetSocket socket : List.copyOf(sockets)) {
            apply(socket);
        }
        if (next != LinkState.SILENT) {
            releasePending();
        }
    }

    private void releasePending() {
        List<NetSocket> released = List.copyOf(pending);
        pending.clear();
        released.forEach(this::release);
    }

    private void release(NetSocket near) {
        if (state == LinkState.RESET) {
            Exchanges.ignore(near.close());
        } else {
            connect(near);
        }
    }

    private void join(NetSocket near, NetSocket far) {
        forward(near, far);
        forward(far, near);
        apply(near);
        apply(far);
    }

    private void forward(NetSocket from, NetSocket to) {
        sockets.add(from);
        from.handler(data -> {
            Exchanges.ignore(to.write(data));
            if (to.writeQueueFull()) {
                from.pause();
                to.drainHandler(drained -> apply(from));
            }
        });
        from.exceptionHandler(e -> {});
        from.closeHandler(closed -> {
            sockets.remove(from);
            Exchanges.ignore(to.close());
        });
    }

    private void apply(NetSocket socket) {
        switch (state) {
            case OPEN -> socket.resume();
            case SILENT -> socket.pause();
            case RESET -> Exchanges.ignore(socket.close());
        }
    }
}
