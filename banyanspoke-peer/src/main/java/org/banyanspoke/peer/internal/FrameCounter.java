package org.banyanspoke.peer.internal;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;
import org.banyanspoke.peer.PeerTraffic;
import org.banyanspoke.peer.generated.Frame;

/** Counts frames and control bytes of all connections of a transport. */
@Sharable
public final class FrameCounter extends ChannelDuplexHandler {
    private final LongAdder messagesSent = new LongAdder();
    private final LongAdder controlBytesSent = new LongAdder();
    private final LongAdder controlBytesReceived = new LongAdder();

    /** Returns the traffic counters. Thread-safe. */
    public PeerTraffic traffic() {
        return new PeerTraffic(messagesSent.sum(), controlBytesSent.sum(), controlBytesReceived.sum());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof Frame frame) {
            controlBytesReceived.add(controlBytes(frame));
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof Frame frame) {
            messagesSent.increment();
            controlBytesSent.add(controlBytes(frame));
        }
        super.write(context, message, promise);
    }

    private static int controlBytes(Frame frame) {
        return switch (frame.getBodyCase()) {
            case JOB_FORWARD, JOB_FORWARD_REPLY, POOL_JOB, POOL_JOB_REPLY -> 0;
            default -> FramePipeline.PREFIX_BYTES + MessageFragmenter.HEADER_BYTES + frame.getSerializedSize();
        };
    }
}
