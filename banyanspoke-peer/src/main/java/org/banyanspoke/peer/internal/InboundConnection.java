package org.banyanspoke.peer.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.functions.Consumer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.peer.FrameFilter;
import org.banyanspoke.peer.FrameFilter.Direction;
import org.banyanspoke.peer.PeerHandler;
import org.banyanspoke.peer.PeerIdentity;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.peer.generated.Failure;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.Heartbeat;
import org.jboss.logging.Logger;

/** Connection opened by a peer. Replies to its requests and sends none itself. */
public final class InboundConnection extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = Logger.getLogger(InboundConnection.class);

    private final PeerIdentity self;
    private final TransportLimits limits;
    private final FrameFilter filter;
    private final Map<Frame.BodyCase, PeerHandler> handlers;
    private final CompositeDisposable cancelOnDisconnect = new CompositeDisposable();
    private PeerIdentity peer;

    /**
     * @param self identity of this process
     * @param limits size and time limits
     * @param filter drops frames
     * @param handlers handlers by message type
     */
    public InboundConnection(
            PeerIdentity self, TransportLimits limits, FrameFilter filter, Map<Frame.BodyCase, PeerHandler> handlers) {
        this.self = self;
        this.limits = limits;
        this.filter = filter;
        this.handlers = handlers;
    }

    /** The opener closes an idle connection first, so that no request is sent on a connection that is being closed. */
    @Override
    public void channelActive(ChannelHandlerContext context) {
        long idleMillis = 2 * limits.idleTimeoutMillis();
        context.pipeline().addFirst(new IdleStateHandler(0, 0, idleMillis, TimeUnit.MILLISECONDS));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            var unused = context.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.getBodyCase() == Frame.BodyCase.HELLO) {
            peer = HelloCodec.decode(frame.getHello());
            UnidentifiedConnections.identified(context);
        }
        if (peer == null) {
            throw new IllegalArgumentException("expected Hello as the first frame");
        }
        if (!filter.passes(Direction.INBOUND, peer.address())) {
            return;
        }
        switch (frame.getBodyCase()) {
            case HELLO -> reply(context, frame, HelloCodec.encode(self));
            case HEARTBEAT -> reply(context, frame, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            default -> handle(context, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelOnDisconnect.dispose();
        context.fireChannelInactive();
    }

    /** Applies backpressure: stops reading requests while the write buffer is full. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.infof("closing connection from %s: %s", peer, cause.getMessage());
        var unused = context.close();
    }

    private void handle(ChannelHandlerContext context, Frame frame) {
        PeerHandler handler = handlers.get(frame.getBodyCase());
        if (handler == null) {
            reply(context, frame, failure("no handler for " + frame.getBodyCase()));
            return;
        }
        Single<Frame.Builder> work = Single.defer(() -> handler.handle(peer, frame));
        Consumer<Frame.Builder> onReply = reply -> context.executor().execute(() -> reply(context, frame, reply));
        Consumer<Throwable> onError =
                e -> context.executor().execute(() -> reply(context, frame, failure(String.valueOf(e))));
        if (handler.isCancelledOnDisconnect()) {
            // The container removes completed requests, so it holds pending requests only.
            var unused = work.subscribe(onReply, onError, cancelOnDisconnect);
        } else {
            var unused = work.subscribe(onReply, onError);
        }
    }

    private void reply(ChannelHandlerContext context, Frame request, Frame.Builder reply) {
        Frame frame = reply.setId(request.getId()).setReply(true).build();
        if (frame.getSerializedSize() > limits.maxMessageBytes()) {
            reply(context, request, failure("reply too large: " + frame.getSerializedSize() + " bytes"));
            return;
        }
        if (filter.passes(Direction.OUTBOUND, peer.address())) {
            var unused = context.writeAndFlush(frame, context.voidPromise());
        }
    }

    private static Frame.Builder failure(String message) {
        return Frame.newBuilder().setFailure(Failure.newBuilder().setMessage(message));
    }
}
