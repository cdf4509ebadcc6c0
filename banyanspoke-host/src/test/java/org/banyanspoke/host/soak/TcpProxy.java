package org.banyanspoke.host.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;

/** A loopback TCP proxy that can delay, reset or refuse connections, or block one direction. */
final class TcpProxy {
    /** How the proxy handles connections. */
    enum Mode {
        /** Forwards all bytes at once. */
        OPEN,
        /** Forwards all bytes after a delay. */
        DELAYED,
        /** Closes all open and new connections. */
        REFUSED,
        /** Blocks bytes to the target, as a one-way network partition does. */
        REQUESTS_BLOCKED,
        /** Blocks bytes from the target. */
        RESPONSES_BLOCKED
    }

    private static final long DELAY_MILLIS = 150;

    private final Vertx vertx;
    private final NetClient client;
    private final int targetPort;
    private final List<Direction> directions = new ArrayList<>();
    private NetServer server;
    private Mode mode = Mode.OPEN;

    /** One direction of a connection. Blocked bytes keep their order and are forwarded after the block ends. */
    private final class Direction {
        private final NetSocket from;
        private final NetSocket to;
        private final boolean toTarget;

        Direction(NetSocket from, NetSocket to, boolean toTarget) {
            this.from = from;
            this.to = to;
            this.toTarget = toTarget;
        }

        void open() {
            from.handler(this::forward);
            from.closeHandler(unused -> {
                to.close();
                remove(this);
            });
            from.exceptionHandler(unused -> from.close());
            apply();
        }

        private void forward(Buffer bytes) {
            if (mode() == Mode.DELAYED) {
                vertx.setTimer(DELAY_MILLIS, unused -> to.write(bytes));
            } else {
                to.write(bytes);
            }
        }

        void apply() {
            switch (mode()) {
                case REFUSED -> from.close();
                case REQUESTS_BLOCKED -> setBlocked(toTarget);
                case RESPONSES_BLOCKED -> setBlocked(!toTarget);
                case OPEN, DELAYED -> from.resume();
            }
        }

        private void setBlocked(boolean blocked) {
            if (blocked) {
                from.pause();
            } else {
                from.resume();
            }
        }
    }

    /**
     * @param targetPort loopback port to which connections are forwarded
     */
    TcpProxy(Vertx vertx, int targetPort) {
        this.vertx = vertx;
        this.client = vertx.createNetClient();
        this.targetPort = targetPort;
    }

    /** Listens on a free port. */
    Future<NetServer> start() {
        server = vertx.createNetServer().connectHandler(this::accept);
        return server.listen(0, "127.0.0.1");
    }

    int port() {
        return server.actualPort();
    }

    /** Changes the mode of all open and new connections. */
    void setMode(Mode newMode) {
        List<Direction> open;
        synchronized (this) {
            mode = newMode;
            open = List.copyOf(directions);
        }
        open.forEach(Direction::apply);
    }

    /** Closes all open connections; new ones are accepted. */
    void reset() {
        List<Direction> open;
        synchronized (this) {
            open = List.copyOf(directions);
        }
        open.forEach(direction -> direction.from.close());
    }

    private synchronized Mode mode() {
        return mode;
    }

    private synchronized void remove(Direction direction) {
        directions.remove(direction);
    }

    private void accept(NetSocket source) {
        if (mode() == Mode.REFUSED) {
            source.close();
            return;
        }
        source.pause();
        client.connect(targetPort, "127.0.0.1")
                .onSuccess(target -> relay(source, target))
                .onFailure(unused -> source.close());
    }

    private void relay(NetSocket source, NetSocket target) {
        Direction requests = new Direction(source, target, true);
        Direction responses = new Direction(target, source, false);
        synchronized (this) {
            directions.add(requests);
            directions.add(responses);
        }
        responses.open();
        requests.open();
    }
}
