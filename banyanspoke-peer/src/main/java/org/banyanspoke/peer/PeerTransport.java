package org.banyanspoke.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.core.Single;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.internal.AcceptedConnection;
import org.banyanspoke.peer.internal.FrameCounter;
import org.banyanspoke.peer.internal.FramePipeline;
import org.banyanspoke.peer.internal.OpenedConnection;

/**
 * Exchanges frames with peers. Requests to one peer share one connection, which is opened on first use, closed when idle
 * and replaced when it goes silent. Replies travel on the connection of their request. All methods may be called from any
 * thread; results arrive on the event loop.
 */
public final class PeerTransport {
    private final HostId host;
    private final Incarnation incarnation;
    private final TransportLimits limits;
    private final FrameFilter filter;
    private final Map<Frame.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, OpenedConnection> connections = new ConcurrentHashMap<>();
    private final AtomicLong lastRequestId = new AtomicLong();
    private final FrameCounter counter = new FrameCounter();
    private final EventLoopGroup eventLoop;
    private volatile long threadId;
    private volatile PeerIdentity self;
    private Channel listener;
    private Future<?> checks;

    /**
     * @param host this entry host
     * @param incarnation this process start
     * @param limits sizes and times
     * @param filter decides which frames pass; {@link FrameFilter#NONE} outside tests
     */
    public PeerTransport(HostId host, Incarnation incarnation, TransportLimits limits, FrameFilter filter) {
        this(
                host,
                incarnation,
                limits,
                filter,
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory()));
    }

    /**
     * A transport on an event loop that does other work too, which spares the hops between two threads.
     *
     * @param eventLoop one thread; {@link #stop} ends it
     */
    public PeerTransport(
            HostId host,
            Incarnation incarnation,
            TransportLimits limits,
            FrameFilter filter,
            EventLoopGroup eventLoop) {
        this.host = host;
        this.incarnation = incarnation;
        this.limits = limits;
        this.filter = filter;
        this.eventLoop = eventLoop;
    }

    /** Sets the handler of a message type. Requests without handler are answered with a failure. */
    public void handle(Frame.BodyCase type, PeerHandler handler) {
        handlers.put(type, handler);
    }

    /**
     * Accepts peers from now on.
     *
     * @param address {@code ip:port} to listen on; port 0 picks a free one
     * @throws IOException if the address cannot be bound
     */
    public void start(String address) throws IOException, InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        FramePipeline.init(channel, limits, counter, acceptedConnection());
                    }
                });
        var bound = bootstrap.bind(parse(address)).await();
        if (!bound.isSuccess()) {
            throw new IOException("peer address " + address + " cannot be bound", bound.cause());
        }
        listener = bound.channel();
        eventLoop.execute(() -> threadId = Thread.currentThread().getId());
        long checkMillis = Math.max(1, limits.silenceMillis() / 2);
        checks = eventLoop.scheduleAtFixedRate(this::checkConnections, checkMillis, checkMillis, TimeUnit.MILLISECONDS);
        InetSocketAddress local = (InetSocketAddress) listener.localAddress();
        self = new PeerIdentity(host, incarnation, local.getAddress().getHostAddress() + ":" + local.getPort());
    }

    /** Returns this process as peers see it. Null before {@link #start}. */
    public PeerIdentity self() {
        return self;
    }

    /**
     * Sends a request.
     *
     * @param address the peer's {@code ip:port}
     * @param request the message; its id is set here
     * @param timeoutMillis limit for the reply, including the time to connect
     * @return the reply; fails with {@link PeerException}
     */
    public Single<PeerReply> request(String address, Frame.Builder request, long timeoutMillis) {
        return Single.create(emitter -> {
            Frame frame = request.clone()
                    .setId(lastRequestId.incrementAndGet())
                    .setReply(false)
                    .build();
            try {
                eventLoop.execute(() -> connection(address).send(frame, timeoutMillis, emitter));
            } catch (RejectedExecutionException e) {
                emitter.tryOnError(new PeerException(address + ": the transport has stopped", false, e));
            }
        });
    }

    /** Closes all connections and ends the event loop. Pending requests fail. */
    public void stop() throws InterruptedException {
        if (listener != null) {
            checks.cancel(false);
            listener.close().await();
        }
        if (!eventLoop.isShuttingDown()) {
            // The end of the event loop alone does not always close a connection before it stops looking at it.
            eventLoop
                    .submit(() -> List.copyOf(connections.values()).forEach(OpenedConnection::stop))
                    .await();
        }
        eventLoop.shutdownGracefully(0, 2, TimeUnit.SECONDS).await();
    }

    /** Returns what this transport has carried. */
    public PeerTraffic traffic() {
        return counter.traffic();
    }

    /** Returns the id of the thread that does this transport's work; 0 just after the start. */
    public long threadId() {
        return threadId;
    }

    /** Returns how many connections this process has opened and not closed. */
    public int openConnections() {
        return connections.size();
    }

    /** One timer for all connections: one for each would wake the event loop twice a second for each member. */
    private void checkConnections() {
        List.copyOf(connections.values()).forEach(OpenedConnection::check);
    }

    private OpenedConnection connection(String address) {
        OpenedConnection connection = connections.get(address);
        return connection == null ? open(address) : connection;
    }

    private OpenedConnection open(String address) {
        OpenedConnection connection =
                new OpenedConnection(address, self, limits, filter, closed -> connections.remove(address, closed));
        connections.put(address, connection);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        FramePipeline.init(channel, limits, counter, connection);
                    }
                });
        connection.open(bootstrap, parse(address), eventLoop);
        return connection;
    }

    private AcceptedConnection acceptedConnection() {
        return new AcceptedConnection(self, limits, filter, handlers);
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
