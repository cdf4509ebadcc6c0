package org.banyanspoke.standins.relay;

import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.banyanspoke.standins.VertxFutures;

/** Relay link with its open connections. Confined to the event loop of the relay. */
final class RelayLink {
    private final NetClient client;
    private final SocketAddress target;
    private final Set<NetSocket> sockets = new HashSet<>();
    /** Connections accepted while the link is silent; they are connected to the target when it opens. */
    private final Set<NetSocket> pending = new HashSet<>();

    private LinkState state = LinkState.OPEN;

    RelayLink(NetClient client, SocketAddress target) {
        this.client = client;
        this.target = target;
    }

    LinkState state() {
        return state;
    }

    void accept(NetSocket inbound) {
        if (state == LinkState.RESET) {
            VertxFutures.ignoreFailure(inbound.close());
            return;
        }
        inbound.pause();
        if (state == LinkState.SILENT) {
            pending.add(inbound);
        } else {
            connect(inbound);
        }
    }

    private void connect(NetSocket inbound) {
        client.connect(target)
                .onSuccess(outbound -> pipe(inbound, outbound))
                .onFailure(e -> VertxFutures.ignoreFailure(inbound.close()));
    }

    void setState(LinkState next) {
        state = next;
        for (NetSocket socket : List.copyOf(sockets)) {
            applyState(socket);
        }
        if (next != LinkState.SILENT) {
            processPending();
        }
    }

    private void processPending() {
        List<NetSocket> accepted = List.copyOf(pending);
        pending.clear();
        accepted.forEach(this::connectOrClose);
    }

    private void connectOrClose(NetSocket inbound) {
        if (state == LinkState.RESET) {
            VertxFutures.ignoreFailure(inbound.close());
        } else {
            connect(inbound);
        }
    }

    private void pipe(NetSocket inbound, NetSocket outbound) {
        forward(inbound, outbound);
        forward(outbound, inbound);
        applyState(inbound);
        applyState(outbound);
    }

    private void forward(NetSocket from, NetSocket to) {
        sockets.add(from);
        from.handler(data -> {
            VertxFutures.ignoreFailure(to.write(data));
            if (to.writeQueueFull()) {
                from.pause();
                to.drainHandler(drained -> applyState(from));
            }
        });
        from.exceptionHandler(e -> {});
        from.closeHandler(closed -> {
            sockets.remove(from);
            VertxFutures.ignoreFailure(to.close());
        });
    }

    private void applyState(NetSocket socket) {
        switch (state) {
            case OPEN -> socket.resume();
            case SILENT -> socket.pause();
            case RESET -> VertxFutures.ignoreFailure(socket.close());
        }
    }
}
