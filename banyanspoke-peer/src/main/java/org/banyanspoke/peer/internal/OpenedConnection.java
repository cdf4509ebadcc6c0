package org.banyanspoke.peer.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanspoke.peer.FrameFilter;
import org.banyanspoke.peer.FrameFilter.Direction;
import org.banyanspoke.peer.PeerException;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.PeerReply;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.Heartbeat;

/** The connection to one peer. Sends requests and matches replies to them by id. */
public final class OpenedConnection extends SimpleChannelInboundHandler<Frame> {
    /** Id of frames that are no request of a caller. */
    private static final long NO_REQUEST = 0;

    private final String address;
    private final PeerIdentity self;
    private final TransportLimits limits;
    private final FrameFilter filter;
    private final Consumer<OpenedConnection> onClosed;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Queue<Frame> waitingForHello = new ArrayDeque<>();
    private EventLoopGroup eventLoop;
    private Channel channel;
    private PeerIdentity peer;
    private long queuedBytes;
    private long lastUseNanos = System.nanoTime();
    private long lastReadNanos = System.nanoTime();
    private long unansweredSinceNanos;
    private boolean unanswered;
    private boolean heartbeatSent;
    private boolean closed;

    /** A request that waits for its reply. */
    private record Pending(SingleEmitter<PeerReply> emitter, Future<?> timeout) {}

    /**
     * @param address the peer's {@code ip:port}
     * @param self this process
     * @param limits sizes and times
     * @param filter decides which frames pass
     * @param onClosed told when this connection takes no further request
     */
    public OpenedConnection(
            String address,
            PeerIdentity self,
            TransportLimits limits,
            FrameFilter filter,
            Consumer<OpenedConnection> onClosed) {
        this.address = address;
        this.self = self;
        this.limits = limits;
        this.filter = filter;
        this.onClosed = onClosed;
    }

    /** Starts to connect. */
    public void open(Bootstrap bootstrap, InetSocketAddress target, EventLoopGroup group) {
        eventLoop = group;
        ChannelFuture connect = bootstrap.connect(target);
        channel = connect.channel();
        connect.addListener(result -> {
            if (!result.isSuccess()) {
                close("not connected", result.cause());
            }
        });
    }

    /** Sends a request and reports its reply or failure to the emitter. */
    public void send(Frame frame, long timeoutMillis, SingleEmitter<PeerReply> emitter) {
        int bytes = frame.getSerializedSize();
        if (bytes > limits.maxMessageBytes()) {
            emitter.tryOnError(new PeerException(address + ": the message has " + bytes + " bytes", false));
            return;
        }
        if (queuedBytes > 0 && queuedBytes + bytes > limits.maxQueuedBytes()) {
            emitter.tryOnError(new PeerException(address + ": " + queuedBytes + " bytes wait already", false));
            return;
        }
        Future<?> timeout = eventLoop.schedule(() -> timeOut(frame.getId()), timeoutMillis, TimeUnit.MILLISECONDS);
        pending.put(frame.getId(), new Pending(emitter, timeout));
        lastUseNanos = System.nanoTime();
        queuedBytes += bytes;
        if (peer == null) {
            waitingForHello.add(frame);
        } else {
            write(frame);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        write(Hellos.of(self).setId(NO_REQUEST).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (!filter.passes(Direction.INBOUND, address)) {
            return;
        }
        lastReadNanos = System.nanoTime();
        unanswered = false;
        heartbeatSent = false;
        if (frame.getBodyCase() == Frame.BodyCase.HELLO) {
            onHello(frame);
        } else {
            onReply(frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        close("closed by the peer", null);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close("failed", cause);
    }

    private void onHello(Frame frame) {
        peer = Hellos.parse(frame.getHello());
        for (Frame waiting = waitingForHello.poll(); waiting != null; waiting = waitingForHello.poll()) {
            write(waiting);
        }
    }

    private void onReply(Frame frame) {
        Pending request = frame.getReply() ? pending.remove(frame.getId()) : null;
        if (request == null) {
            return;
        }
        request.timeout().cancel(false);
        if (frame.getBodyCase() == Frame.BodyCase.FAILURE) {
            request.emitter()
                    .tryOnError(new PeerException(
                            address + ": " + frame.getFailure().getMessage(), true));
            return;
        }
        request.emitter().onSuccess(new PeerReply(peer, frame));
    }

    private void write(Frame frame) {
        long bytes = frame.getId() == NO_REQUEST ? 0 : frame.getSerializedSize();
        if (!unanswered) {
            unanswered = true;
            unansweredSinceNanos = System.nanoTime();
        }
        if (!filter.passes(Direction.OUTBOUND, address)) {
            queuedBytes -= bytes;
            return;
        }
        channel.writeAndFlush(frame).addListener(done -> queuedBytes -= bytes);
    }

    private void timeOut(long id) {
        Pending request = pending.remove(id);
        if (request != null) {
            request.emitter().tryOnError(new PeerException(address + ": no reply in time", true));
        }
    }

    /** Finds silence and idleness. Called at least twice within the silence limit. */
    public void check() {
        long nowNanos = System.nanoTime();
        if (peer == null) {
            checkLimit(nowNanos, lastUseNanosOfOpening(), limits.connectTimeoutMillis(), "no identity in time");
        } else if (unanswered) {
            checkSilence(nowNanos);
        } else if (!pending.isEmpty()) {
            checkWaiting(nowNanos);
        } else {
            checkLimit(nowNanos, lastUseNanos, limits.idleTimeoutMillis(), "idle");
        }
    }

    private long lastUseNanosOfOpening() {
        return unanswered ? unansweredSinceNanos : lastReadNanos;
    }

    private void checkSilence(long nowNanos) {
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - unansweredSinceNanos);
        if (silentMillis >= 2 * limits.silenceMillis()) {
            close("silent for " + silentMillis + " ms", null);
        } else if (silentMillis >= limits.silenceMillis() && !heartbeatSent) {
            sendHeartbeat();
        }
    }

    /** A slow request keeps the connection in use; heartbeats show that the peer is still there. */
    private void checkWaiting(long nowNanos) {
        if (nowNanos - lastReadNanos >= TimeUnit.MILLISECONDS.toNanos(limits.silenceMillis())) {
            sendHeartbeat();
        }
    }

    private void sendHeartbeat() {
        heartbeatSent = true;
        write(Frame.newBuilder()
                .setId(NO_REQUEST)
                .setHeartbeat(Heartbeat.getDefaultInstance())
                .build());
    }

    private void checkLimit(long nowNanos, long sinceNanos, long limitMillis, String reason) {
        if (nowNanos - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(limitMillis)) {
            close(reason, null);
        }
    }

    /** Closes the connection; requests without reply fail. */
    public void stop() {
        close("the transport has stopped", null);
    }

    private void close(String reason, Throwable cause) {
        if (closed) {
            return;
        }
        closed = true;
        onClosed.accept(this);
        var unused = channel.close();
        boolean written = peer != null;
        List<Pending> failed = List.copyOf(pending.values());
        pending.clear();
        for (Pending request : failed) {
            request.timeout().cancel(false);
            request.emitter().tryOnError(new PeerException(address + ": connection " + reason, written, cause));
        }
    }
}
