package org.banyanspoke.peer.internal;

import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.peer.generated.Frame;

/** Sets up a channel's handlers: 4-byte length prefix, fragments, protobuf, traffic counters, then the connection. */
public final class FramePipeline {
    static final int PREFIX_BYTES = 4;
    private static final int MAX_FRAGMENT_BYTES =
            PREFIX_BYTES + MessageFragmenter.HEADER_BYTES + MessageFragmenter.MAX_CONTENT_BYTES;

    private FramePipeline() {}

    /** Adds the handlers. The decoder throws on an oversized fragment or message, which closes the connection. */
    public static void init(
            SocketChannel channel, TransportLimits limits, FrameCounter counter, ChannelHandler connection) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAGMENT_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES))
                .addLast(new MessageReassembler(limits.maxMessageBytes()))
                .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                .addLast(new LengthFieldPrepender(PREFIX_BYTES))
                .addLast(new MessageFragmenter())
                .addLast(new ProtobufEncoder())
                .addLast(counter)
                .addLast(connection);
    }
}
