package org.banyanspoke.peer;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates a process that is suspended while it waits for input: the wait is interrupted when the process is resumed,
 * so timers fire before any socket is read.
 */
final class SuspendableIoHandler extends ForwardingIoHandler {
    private final AtomicLong suspendMillis;

    private SuspendableIoHandler(IoHandler handler, AtomicLong suspendMillis) {
        super(handler);
        this.suspendMillis = suspendMillis;
    }

    /**
     * Returns a factory of such handlers.
     *
     * @param suspendMillis set to the duration of a suspension, which begins with the next pass over the sockets
     */
    static IoHandlerFactory factory(IoHandlerFactory handlers, AtomicLong suspendMillis) {
        return executor -> new SuspendableIoHandler(handlers.newHandler(executor), suspendMillis);
    }

    @Override
    public int run(IoHandlerContext context) {
        long millis = suspendMillis.getAndSet(0);
        if (millis == 0) {
            return super.run(context);
        }
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }
}
