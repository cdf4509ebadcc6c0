package org.banyanspoke.host;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.concurrent.ThreadFactory;

/** The NIO transport, with an event loop whose passes over the sockets are recorded. */
final class ObservedTransport implements Transport {
    private final InputProgress input;

    ObservedTransport(InputProgress input) {
        this.input = input;
    }

    @Override
    public String name() {
        return NIO.name();
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return new ObservedNioTransport();
    }

    private final class ObservedNioTransport extends NioTransport {
        @Override
        public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory threadFactory, int ioRatio) {
            IoHandlerFactory handlers =
                    type == IO_EVENT_LOOP_GROUP ? input.observe(ioHandlerFactory()) : ioHandlerFactory();
            return new MultiThreadIoEventLoopGroup(threads, threadFactory, handlers);
        }
    }
}
