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

/** Connection to one peer. Sends requests and matches replies to them by id. */
public final class OutboundConnection extends SimpleChannelInboundHandler<Frame> {
    /** Id of Hello and heartbeat frames. */
    private static final long CONTROL_FRAME_ID = 0;

    private final String address;
    private final PeerIdentity self;
    private final TransportLimits limits;
    private final FrameFilter filter;
    private final Consumer<OutboundConnection> onClosed;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Queue<Frame> queuedUntilHello = new ArrayDeque<>();
    private EventLoopGroup eventLoop;
    private Channel channel;
    private PeerIdentity peer;
    private long queuedBytes;
    private long lastUseNanos = System.nanoTime();
    private long lastReadNanos = System.nanoTime();
    private long awaitingDataSinceNanos;
    private boolean awaitingData;
    private boolean heartbeatSent;
    private boolean closed;

    /** A request without a reply so far. */
    private record Pending(SingleEmitter<PeerReply> emitter, Future<?> timeout) {}

    /**
     * @param address the peer's {@code ip:port}
     * @param self identity of this process
     * @param limits size and time limits
     * @param filter drops frames
     * @param onClosed called once, when this connection closes
     */
    public OutboundConnection(
            String address,
            PeerIdentity self,
            TransportLimits limits,
            FrameFilter filter,
            Consumer<OutboundConnection> onClosed) {
        this.address = address;
        this.self = self;
        this.limits = limits;
        this.filter = filter;
        this.onClosed = onClosed;
    }

    /** Starts connecting. */
    public void open(Bootstrap bootstrap, InetSocketAddress target, EventLoopGroup group) {
        eventLoop = group;
        ChannelFuture connect = bootstrap.connect(target);
        channel = connect.channel();
        connect.addListener(result -> {
            if (!result.isSuccess()) {
                close("could not be established", result.cause());
            }
        });
    }

    /** Sends a request and passes its reply or error to the emitter. */
    public void send(Frame frame, long timeoutMillis, SingleEmitter<PeerReply> emitter) {
        int bytes = frame.getSerializedSize();
        if (bytes > limits.maxMessageBytes()) {
            emitter.tryOnError(new PeerException(address + ": message too large: " + bytes + " bytes", false));
            return;
        }
        if (queuedBytes > 0 && queuedBytes + bytes > limits.maxQueuedBytes()) {
            emitter.tryOnError(
                    new PeerException(address + ": send queue full: " + queuedBytes + " bytes queued", false));
            return;
        }
        Future<?> timeout = eventLoop.schedule(() -> timeOut(frame.getId()), timeoutMillis, TimeUnit.MILLISECONDS);
        pending.put(frame.getId(), new Pending(emitter, timeout));
        lastUseNanos = System.nanoTime();
        queuedBytes += bytes;
        if (peer == null) {
            queuedUntilHello.add(frame);
        } else {
            write(frame);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        write(HelloCodec.encode(self).setId(CONTROL_FRAME_ID).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (!filter.passes(Direction.INBOUND, address)) {
            return;
        }
        lastReadNanos = System.nanoTime();
        awaitingData = false;
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
        peer = HelloCodec.decode(frame.getHello());
        for (Frame waiting = queuedUntilHello.poll(); waiting != null; waiting = queuedUntilHello.poll()) {
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
        long bytes = frame.getId() == CONTROL_FRAME_ID ? 0 : frame.getSerializedSize();
        if (!awaitingData) {
            awaitingData = true;
            awaitingDataSinceNanos = System.nanoTime();
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
            request.emitter().tryOnError(new PeerException(address + ": timed out waiting for the reply", true));
        }
    }

    /** Closes an idle or unresponsive connection. Called at least twice per heartbeat timeout. */
    public void checkTimeouts() {
        long nowNanos = System.nanoTime();
        if (peer == null) {
            closeIfExpired(
                    nowNanos, handshakeStartNanos(), limits.connectTimeoutMillis(), "timed out waiting for Hello");
        } else if (awaitingData) {
            checkUnresponsive(nowNanos);
        } else if (!pending.isEmpty()) {
            checkPendingRequests(nowNanos);
        } else {
            closeIfExpired(nowNanos, lastUseNanos, limits.idleTimeoutMillis(), "idle");
        }
    }

    private long handshakeStartNanos() {
        return awaitingData ? awaitingDataSinceNanos : lastReadNanos;
    }

    private void checkUnresponsive(long nowNanos) {
        long unresponsiveMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - awaitingDataSinceNanos);
        if (unresponsiveMillis >= 2 * limits.heartbeatTimeoutMillis()) {
            close("unresponsive for " + unresponsiveMillis + " ms", null);
        } else if (unresponsiveMillis >= limits.heartbeatTimeoutMillis() && !heartbeatSent) {
            sendHeartbeat();
        }
    }

    /** A pending request keeps the connection open; heartbeats verify that the peer still responds. */
    private void checkPendingRequests(long nowNanos) {
        if (nowNanos - lastReadNanos >= TimeUnit.MILLISECONDS.toNanos(limits.heartbeatTimeoutMillis())) {
            sendHeartbeat();
        }
    }

    private void sendHeartbeat() {
        heartbeatSent = true;
        write(Frame.newBuilder()
                .setId(CONTROL_FRAME_ID)
                .setHeartbeat(Heartbeat.getDefaultInstance())
                .build());
    }

    private void closeIfExpired(long nowNanos, long sinceNanos, long limitMillis, String reason) {
        if (nowNanos - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(limitMillis)) {
            close(reason, null);
        }
    }

    /** Closes the connection. Pending requests fail. */
    public void stop() {
        close("closed: transport stopped", null);
    }

    private void close(String reason, Throwable cause) {
        if (closed) {
            return;
        }
        closed = true;
        onClosed.accept(this);
        var unused = channel.close();
        boolean mayHaveArrived = peer != null;
        List<Pending> unanswered = List.copyOf(pending.values());
        pending.clear();
        for (Pending request : unanswered) {
            request.timeout().cancel(false);
            request.emitter().tryOnError(new PeerException(address + ": connection " + reason, mayHaveArrived, cause));
        }
    }
}
