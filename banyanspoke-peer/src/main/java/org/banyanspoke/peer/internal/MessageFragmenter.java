package org.banyanspoke.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/**
 * Splits each message into one or more fragments. A fragment starts with the message number and the number of bytes in
 * later fragments. The next fragment of a large message is written once the previous one has been flushed, so that a
 * probe is not delayed by a job of many megabytes.
 */
final class MessageFragmenter extends ChannelOutboundHandlerAdapter {
    /** About 2 ms on a 1 Gbit/s link, short against the probe timeout of 300 ms. */
    static final int MAX_CONTENT_BYTES = 256 * 1024;

    /** Message number and remaining bytes, 4 bytes each. */
    static final int HEADER_BYTES = 8;

    private int lastMessageNumber;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        lastMessageNumber++;
        writeNextFragment(context, lastMessageNumber, (ByteBuf) message, promise);
    }

    private static void writeNextFragment(
            ChannelHandlerContext context, int number, ByteBuf remaining, ChannelPromise promise) {
        int contentBytes = Math.min(remaining.readableBytes(), MAX_CONTENT_BYTES);
        ByteBuf content = remaining.readRetainedSlice(contentBytes);
        ByteBuf header = context.alloc().buffer(HEADER_BYTES).writeInt(number).writeInt(remaining.readableBytes());
        ByteBuf fragment = Unpooled.wrappedBuffer(header, content);
        if (!remaining.isReadable()) {
            remaining.release();
            var unused = context.write(fragment, promise);
            context.flush();
            return;
        }
        ChannelFuture written = context.writeAndFlush(fragment);
        written.addListener(result -> {
            if (result.isSuccess()) {
                writeNextFragment(context, number, remaining, promise);
            } else {
                remaining.release();
                promise.tryFailure(result.cause());
            }
        });
    }
}
