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

/** Reassembles messages from the fragments that {@link MessageFragmenter} writes. */
final class MessageReassembler extends MessageToMessageDecoder<ByteBuf> {
    private final int maxMessageBytes;
    private final Map<Integer, CompositeByteBuf> incomplete = new HashMap<>();

    /**
     * @param maxMessageBytes maximum size of a message; a larger one causes a {@link TooLongFrameException}
     */
    MessageReassembler(int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf fragment, List<Object> messages) {
        if (fragment.readableBytes() < MessageFragmenter.HEADER_BYTES) {
            throw new CorruptedFrameException("incomplete fragment header: " + fragment.readableBytes() + " bytes");
        }
        int number = fragment.readInt();
        int remainingBytes = fragment.readInt();
        CompositeByteBuf previous = incomplete.get(number);
        checkMessageSize((previous == null ? 0L : previous.readableBytes()) + fragment.readableBytes(), remainingBytes);
        if (previous == null && remainingBytes == 0) {
            messages.add(fragment.readRetainedSlice(fragment.readableBytes()));
            return;
        }
        CompositeByteBuf assembled = previous == null ? startMessage(context, number) : previous;
        assembled.addComponent(true, fragment.readRetainedSlice(fragment.readableBytes()));
        if (remainingBytes == 0) {
            incomplete.remove(number);
            messages.add(assembled);
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        incomplete.values().forEach(CompositeByteBuf::release);
        incomplete.clear();
    }

    private CompositeByteBuf startMessage(ChannelHandlerContext context, int number) {
        CompositeByteBuf assembled = context.alloc().compositeBuffer(Integer.MAX_VALUE);
        incomplete.put(number, assembled);
        return assembled;
    }

    private void checkMessageSize(long receivedBytes, int remainingBytes) {
        if (remainingBytes < 0 || receivedBytes + remainingBytes > maxMessageBytes) {
            throw new TooLongFrameException(
                    "message too large: " + (receivedBytes + remainingBytes) + " bytes, limit " + maxMessageBytes);
        }
    }
}
