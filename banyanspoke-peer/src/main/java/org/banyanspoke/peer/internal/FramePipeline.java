package org.banyanspoke.peer.internal;

import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.peer.generated.Frame;

/** Handlers of every connection: 4-byte length prefix, parts of messages, protobuf, counts, then the connection itself. */
public final class FramePipeline {
    static final int PREFIX_BYTES = 4;
    private static final int MAX_FRAME_BYTES =
            PREFIX_BYTES + MessageSplitter.HEADER_BYTES + MessageSplitter.MAX_CONTENT_BYTES;

    private FramePipeline() {}

    /** Adds the handlers. A frame or message above its limit makes the decoder throw, and the connection closes. */
    public static void init(
            SocketChannel channel, TransportLimits limits, FrameCounter counter, ChannelHandler connection) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES))
                .addLast(new MessageJoiner(limits.maxMessageBytes()))
                .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                .addLast(new LengthFieldPrepender(PREFIX_BYTES))
                .addLast(new MessageSplitter())
                .addLast(new ProtobufEncoder())
                .addLast(counter)
                .addLast(connection);
    }
}
