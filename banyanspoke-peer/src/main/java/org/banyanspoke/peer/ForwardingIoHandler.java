package org.banyanspoke.peer;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** Handler of an event loop that forwards all calls to another one. Subclasses add to single calls. */
public abstract class ForwardingIoHandler implements IoHandler {
    private final IoHandler handler;

    /**
     * @param handler receives the calls
     */
    protected ForwardingIoHandler(IoHandler handler) {
        this.handler = handler;
    }

    @Override
    public int run(IoHandlerContext context) {
        return handler.run(context);
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }
}
