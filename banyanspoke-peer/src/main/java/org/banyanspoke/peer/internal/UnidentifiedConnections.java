package org.banyanspoke.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * Limits connections to the peer port until they have sent a Hello: their number, their input and their time. Without
 * it, clients that are no entry hosts could hold a fragment's worth of memory each for as long as they like. Belongs to
 * an event loop.
 */
public final class UnidentifiedConnections {
    /** All hosts of a large site connect at once after a power loss. */
    static final int MAX_CONNECTIONS = 256;
    /** A Hello takes about 100 bytes; the requests that follow it at once may arrive with it. */
    static final int MAX_BYTES = 65_536;

    /** A step whose timer fires late, after a suspension, is followed by others in which the Hello is read. */
    private static final int STEPS = 3;

    private static final long STEP_MILLIS = 1_000;
    private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final Logger LOG = Logger.getLogger(UnidentifiedConnections.class);

    private final Deque<Limiter> open = new ArrayDeque<>();
    private long lastLogNanos = System.nanoTime() - LOG_PERIOD_NANOS;
    private long notLogged;

    /** Returns the handler of a new connection. */
    public ChannelHandler newLimiter() {
        return new Limiter();
    }

    /** Lifts the limits of a connection that has sent a Hello. */
    static void identified(ChannelHandlerContext context) {
        Limiter limiter = context.pipeline().get(Limiter.class);
        if (limiter != null) {
            context.pipeline().remove(limiter);
        }
    }

    private void refuse(Limiter limiter, String reason) {
        open.remove(limiter);
        notLogged++;
        long nowNanos = System.nanoTime();
        if (nowNanos - lastLogNanos >= LOG_PERIOD_NANOS) {
            LOG.warnf(
                    "connections to the peer port closed before a Hello: %s, last client %s, since the last line %d",
                    reason, limiter.context.channel().remoteAddress(), notLogged);
            lastLogNanos = nowNanos;
            notLogged = 0;
        }
        limiter.close();
    }

    private final class Limiter extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext context;
        private int receivedBytes;
        private int stepsLeft = STEPS;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
            open.add(this);
            startStep();
            if (open.size() > MAX_CONNECTIONS) {
                refuse(open.peek(), "too many connections");
            }
        }

        private void startStep() {
            var unused = context.executor().schedule(this::onStepEnd, STEP_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void onStepEnd() {
            if (context.isRemoved() || !context.channel().isActive()) {
                return;
            }
            stepsLeft--;
            if (stepsLeft > 0) {
                startStep();
            } else {
                refuse(this, "time limit");
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext unused, Object message) {
            receivedBytes += ((ByteBuf) message).readableBytes();
            context.fireChannelRead(message);
            if (!context.isRemoved()
                    && receivedBytes > MAX_BYTES
                    && context.channel().isActive()) {
                refuse(this, "too many bytes");
            }
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext unused) {
            open.remove(this);
        }

        private void close() {
            var unused = context.close();
        }
    }
}
