package org.banyanspoke.peer.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Joins the frames that {@link MessageSplitter} writes. */
final class MessageJoiner extends MessageToMessageDecoder<ByteBuf> {
    private final int maxMessageBytes;
    private final Map<Integer, CompositeByteBuf> incomplete = new HashMap<>();

    /**
     * @param maxMessageBytes largest message; a larger one fails with {@link TooLongFrameException}
     */
    MessageJoiner(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> messages) {
        if (frame.readableBytes() < MessageSplitter.HEADER_BYTES) {
            throw new CorruptedFrameException("a frame has " + frame.readableBytes() + " bytes");
        }
        int number = frame.readInt();
        int remainingBytes = frame.readInt();
        CompositeByteBuf earlier = incomplete.get(number);
        checkSize((earlier == null ? 0L : earlier.readableBytes()) + frame.readableBytes(), remainingBytes);
        if (earlier == null && remainingBytes == 0) {
            messages.add(frame.readRetainedSlice(frame.readableBytes()));
            return;
        }
        CompositeByteBuf joined = earlier == null ? begin(context, number) : earlier;
        joined.addComponent(true, frame.readRetainedSlice(frame.readableBytes()));
        if (remainingBytes == 0) {
            incomplete.remove(number);
            messages.add(joined);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        incomplete.values().forEach(CompositeByteBuf::release);
        incomplete.clear();
    }

    private CompositeByteBuf begin(ChannelHandlerContext context, int number) {
        CompositeByteBuf joined = context.alloc().compositeBuffer(Integer.MAX_VALUE);
        incomplete.put(number, joined);
        return joined;
    }

    private void checkSize(long presentBytes, int remainingBytes) {
        if (remainingBytes < 0 || presentBytes + remainingBytes > maxMessageBytes) {
            throw new TooLongFrameException(
                    "a message has " + (presentBytes + remainingBytes) + " bytes, the limit is " + maxMessageBytes);
        }
    }
}
