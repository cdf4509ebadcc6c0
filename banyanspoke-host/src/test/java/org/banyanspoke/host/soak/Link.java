package org.banyanspoke.host.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;

/** A loopback TCP proxy whose connections can be delayed, reset, refused, or silenced in one direction. */
final class Link {
    /** What the proxy does with its connections. */
    enum Mode {
        /** Passes everything on at once. */
        OPEN,
        /** Passes everything on later. */
        DELAYED,
        /** Closes what there is and every new connection. */
        REFUSED,
        /** Holds back what goes to the target, as a cut of one direction does. */
        REQUESTS_SILENT,
        /** Holds back what comes from the target. */
        ANSWERS_SILENT
    }

    private static final long DELAY_MILLIS = 150;

    private final Vertx vertx;
    private final NetClient client;
    private final int targetPort;
    private final List<Direction> directions = new ArrayList<>();
    private NetServer server;
    private Mode mode = Mode.OPEN;

    /** One direction of a connection. Bytes that are held back stay in order and are passed on when the link is open again. */
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
            from.handler(this::pass);
            from.closeHandler(unused -> {
                to.close();
                forget(this);
            });
            from.exceptionHandler(unused -> from.close());
            apply();
        }

        private void pass(Buffer bytes) {
            if (mode() == Mode.DELAYED) {
                vertx.setTimer(DELAY_MILLIS, unused -> to.write(bytes));
            } else {
                to.write(bytes);
            }
        }

        void apply() {
            switch (mode()) {
                case REFUSED -> from.close();
                case REQUESTS_SILENT -> hold(toTarget);
                case ANSWERS_SILENT -> hold(!toTarget);
                case OPEN, DELAYED -> from.resume();
            }
        }

        private void hold(boolean held) {
            if (held) {
                from.pause();
            } else {
                from.resume();
            }
        }
    }

    /**
     * @param targetPort where connections lead to
     */
    Link(Vertx vertx, int targetPort) {
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

    /** Changes what happens to all connections, open and new. */
    void set(Mode next) {
        List<Direction> open;
        synchronized (this) {
            mode = next;
            open = List.copyOf(directions);
        }
        open.forEach(Direction::apply);
    }

    /** Closes all connections; new ones pass. */
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

    private synchronized void forget(Direction direction) {
        directions.remove(direction);
    }

    private void accept(NetSocket caller) {
        if (mode() == Mode.REFUSED) {
            caller.close();
            return;
        }
        caller.pause();
        client.connect(targetPort, "127.0.0.1")
                .onSuccess(target -> join(caller, target))
                .onFailure(unused -> caller.close());
    }

    private void join(NetSocket caller, NetSocket target) {
        Direction requests = new Direction(caller, target, true);
        Direction answers = new Direction(target, caller, false);
        synchronized (this) {
            directions.add(requests);
            directions.add(answers);
        }
        answers.open();
        requests.open();
    }
}
