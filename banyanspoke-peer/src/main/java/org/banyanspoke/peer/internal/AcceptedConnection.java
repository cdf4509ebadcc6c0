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

/** A connection that a peer opened. Answers its requests and sends none. */
public final class AcceptedConnection extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = Logger.getLogger(AcceptedConnection.class);

    private final PeerIdentity self;
    private final TransportLimits limits;
    private final FrameFilter filter;
    private final Map<Frame.BodyCase, PeerHandler> handlers;
    private final CompositeDisposable endingWithConnection = new CompositeDisposable();
    private PeerIdentity peer;

    /**
     * @param self this process
     * @param limits sizes and times
     * @param filter decides which frames pass
     * @param handlers handler of each message type
     */
    public AcceptedConnection(
            PeerIdentity self, TransportLimits limits, FrameFilter filter, Map<Frame.BodyCase, PeerHandler> handlers) {
        this.self = self;
        this.limits = limits;
        this.filter = filter;
        this.handlers = handlers;
    }

    /** The opener closes an idle connection first, so that no request meets a connection that is being closed. */
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
            peer = Hellos.parse(frame.getHello());
        }
        if (peer == null) {
            throw new IllegalArgumentException("the first frame is not Hello");
        }
        if (!filter.passes(Direction.INBOUND, peer.address())) {
            return;
        }
        switch (frame.getBodyCase()) {
            case HELLO -> reply(context, frame, Hellos.of(self));
            case HEARTBEAT -> reply(context, frame, Frame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
            default -> handle(context, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        endingWithConnection.dispose();
        context.fireChannelInactive();
    }

    /** Stops reading requests while replies wait to be written. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.infof("connection from %s closed: %s", peer, cause.getMessage());
        var unused = context.close();
    }

    private void handle(ChannelHandlerContext context, Frame frame) {
        PeerHandler handler = handlers.get(frame.getBodyCase());
        if (handler == null) {
            reply(context, frame, failure("no handler for " + frame.getBodyCase()));
            return;
        }
        Single<Frame.Builder> work = Single.defer(() -> handler.handle(peer, frame));
        Consumer<Frame.Builder> onReply = answer -> context.executor().execute(() -> reply(context, frame, answer));
        Consumer<Throwable> onError =
                e -> context.executor().execute(() -> reply(context, frame, failure(String.valueOf(e))));
        if (handler.endsWithConnection()) {
            // The container removes what has ended, so it holds open requests only.
            var unused = work.subscribe(onReply, onError, endingWithConnection);
        } else {
            var unused = work.subscribe(onReply, onError);
        }
    }

    private void reply(ChannelHandlerContext context, Frame request, Frame.Builder answer) {
        Frame frame = answer.setId(request.getId()).setReply(true).build();
        if (frame.getSerializedSize() > limits.maxMessageBytes()) {
            reply(context, request, failure("the reply has " + frame.getSerializedSize() + " bytes"));
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
