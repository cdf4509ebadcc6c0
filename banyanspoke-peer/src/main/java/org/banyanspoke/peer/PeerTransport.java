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
import io.reactivex.rxjava3.core.SingleEmitter;
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
import org.banyanspoke.peer.internal.FrameCounter;
import org.banyanspoke.peer.internal.FramePipeline;
import org.banyanspoke.peer.internal.InboundConnection;
import org.banyanspoke.peer.internal.OutboundConnection;
import org.banyanspoke.peer.internal.UnidentifiedConnections;

/**
 * Exchanges frames with peers. Requests to one peer share one connection, which is opened on first use, closed when
 * idle and replaced when the peer stops responding. Replies are sent on the connection of their request. All methods
 * may be called from any thread; results are delivered on the event loop.
 */
public final class PeerTransport {
    /** A check that follows the last one after more than this many periods is late. */
    private static final int LATE_CHECK_PERIODS = 2;

    private final HostId host;
    private final Incarnation incarnation;
    private final TransportLimits limits;
    private final FrameFilter filter;
    private final UnidentifiedConnections unidentified = new UnidentifiedConnections();
    private final Map<Frame.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();
    private final Map<String, OutboundConnection> connections = new ConcurrentHashMap<>();
    private final AtomicLong lastRequestId = new AtomicLong();
    private final FrameCounter counter = new FrameCounter();
    private final EventLoopGroup eventLoop;
    private volatile long threadId;
    private volatile PeerIdentity self;
    private Channel listener;
    private Future<?> connectionChecks;
    private long lastCheckNanos;

    /**
     * @param host id of this entry host
     * @param incarnation incarnation of this process
     * @param limits size and time limits
     * @param filter drops frames; {@link FrameFilter#NONE} outside tests
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
     * Creates a transport on an event loop shared with other work, which avoids hand-overs between threads.
     *
     * @param eventLoop event loop group with one thread; {@link #stop} shuts it down
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

    /** Sets the handler of a message type. Requests without a handler get a {@code Failure} reply. */
    public void handle(Frame.BodyCase type, PeerHandler handler) {
        handlers.put(type, handler);
    }

    /**
     * Starts accepting connections from peers.
     *
     * @param address {@code ip:port} to listen on; port 0 selects a free port
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
                        channel.pipeline().addLast(unidentified.newLimiter());
                        FramePipeline.init(channel, limits, counter, newInboundConnection());
                    }
                });
        var bound = bootstrap.bind(parse(address)).await();
        if (!bound.isSuccess()) {
            throw new IOException("failed to bind peer address " + address, bound.cause());
        }
        listener = bound.channel();
        eventLoop.execute(() -> threadId = Thread.currentThread().getId());
        long checkMillis = checkPeriodMillis();
        lastCheckNanos = System.nanoTime();
        connectionChecks =
                eventLoop.scheduleAtFixedRate(this::checkConnections, checkMillis, checkMillis, TimeUnit.MILLISECONDS);
        InetSocketAddress local = (InetSocketAddress) listener.localAddress();
        self = new PeerIdentity(host, incarnation, local.getAddress().getHostAddress() + ":" + local.getPort());
    }

    /** Returns the identity that this process announces to peers; null before {@link #start}. */
    public PeerIdentity self() {
        return self;
    }

    /**
     * Sends a request.
     *
     * @param address the peer's {@code ip:port}; the request fails if it is invalid or null
     * @param request the message; its id is set here
     * @param timeoutMillis timeout for the reply, including connecting
     * @return the reply; fails with {@link PeerException}
     */
    public Single<PeerReply> request(String address, Frame.Builder request, long timeoutMillis) {
        return Single.create(emitter -> {
            Frame frame = request.clone()
                    .setId(lastRequestId.incrementAndGet())
                    .setReply(false)
                    .build();
            try {
                eventLoop.execute(() -> send(address, frame, timeoutMillis, emitter));
            } catch (RejectedExecutionException e) {
                emitter.tryOnError(new PeerException(address + ": transport stopped", false, e));
            }
        });
    }

    private void send(String address, Frame frame, long timeoutMillis, SingleEmitter<PeerReply> emitter) {
        OutboundConnection connection;
        try {
            connection = getOrOpen(address);
        } catch (IllegalArgumentException e) {
            emitter.tryOnError(new PeerException(e.getMessage(), false, e));
            return;
        }
        connection.send(frame, timeoutMillis, emitter);
    }

    /** Closes all connections and shuts down the event loop. Pending requests fail. */
    public void stop() throws InterruptedException {
        if (listener != null) {
            connectionChecks.cancel(false);
            listener.close().await();
        }
        if (!eventLoop.isShuttingDown()) {
            // Shutting down the event loop alone does not reliably close connections and fail their requests.
            eventLoop
                    .submit(() -> List.copyOf(connections.values()).forEach(OutboundConnection::stop))
                    .await();
        }
        eventLoop.shutdownGracefully(0, 2, TimeUnit.SECONDS).await();
    }

    /** Returns the traffic counters. */
    public PeerTraffic traffic() {
        return counter.traffic();
    }

    /** Returns the id of the event loop's thread; 0 until the event loop has run its first task. */
    public long threadId() {
        return threadId;
    }

    /** Returns the number of open outbound connections. */
    public int openConnections() {
        return connections.size();
    }

    private long checkPeriodMillis() {
        return Math.max(1, limits.heartbeatTimeoutMillis() / 2);
    }

    /**
     * Runs on one timer for all connections: a timer for each would wake the event loop twice a second per member. A
     * late check closes nothing: after a suspension of the process, timers fire before replies that have arrived are
     * read. They are read before the next check.
     */
    private void checkConnections() {
        long nowNanos = System.nanoTime();
        boolean late =
                nowNanos - lastCheckNanos > LATE_CHECK_PERIODS * TimeUnit.MILLISECONDS.toNanos(checkPeriodMillis());
        lastCheckNanos = nowNanos;
        if (!late) {
            List.copyOf(connections.values()).forEach(OutboundConnection::checkTimeouts);
        }
    }

    private OutboundConnection getOrOpen(String address) {
        if (address == null) {
            throw new IllegalArgumentException("peer address is not known");
        }
        OutboundConnection connection = connections.get(address);
        return connection == null ? open(address) : connection;
    }

    private OutboundConnection open(String address) {
        InetSocketAddress target = parse(address);
        OutboundConnection connection =
                new OutboundConnection(address, self, limits, filter, closed -> connections.remove(address, closed));
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
        connection.open(bootstrap, target, eventLoop);
        return connection;
    }

    private InboundConnection newInboundConnection() {
        return new InboundConnection(self, limits, filter, handlers);
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("peer address \"" + address + "\" has no port");
        }
        try {
            return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("peer address \"" + address + "\" has an invalid port", e);
        }
    }
}
