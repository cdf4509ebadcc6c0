package org.banyanspoke.host;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.VertxInternal;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.core.ownership.FencingTokens;
import org.banyanspoke.core.ownership.HostFailureDetector;
import org.banyanspoke.core.ownership.JobRouter;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.SiteConfig;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.FrameFilter;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.platform.CallerServer;
import org.banyanspoke.platform.HttpServerOrders;
import org.banyanspoke.platform.PlatformSettings;
import org.banyanspoke.platform.SiteTopics;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/** One entry host: joins its parts and gives them their turns on one thread. */
final class HostProcess {
    /** Peers that are silent for twice this time are given up. */
    private static final long PEER_SILENCE_MILLIS = 300;

    private static final TransportLimits PEER_LIMITS =
            new TransportLimits(4 * 1024 * 1024, 16L * 1024 * 1024, 500, PEER_SILENCE_MILLIS, 60_000);
    /** Deadlines are met this exactly, */
    private static final long TICK_MILLIS = 20;
    /** and the loss of another host is noticed this exactly. */
    private static final long IDLE_TICK_MILLIS = 60;
    /** Time in which a new host hears the others before it may claim to dispatch. */
    private static final long SETTLE_MILLIS = 300;

    private static final long REGISTER_TIMEOUT_MILLIS = 1_000;
    private static final long REGISTER_RETRY_MILLIS = 300;
    /** A change of the configuration is known after one way to the store; silent connections are noticed soon after this. */
    private static final long CONFIG_WAIT_MILLIS = 1_000;
    /** Hosts change seldom, and are heard directly. */
    private static final long HOSTS_PAUSE_MILLIS = 1_500;
    /** The settings file also changes without a signal. */
    private static final long SETTINGS_PERIOD_MILLIS = 2_000;
    /** Within this time a dispatcher knows of a server that leaves. */
    private static final long SERVERS_PAUSE_MILLIS = 400;

    private static final long SERVERS_IDLE_PAUSE_MILLIS = 1_200;
    /** The platform sends new connections until two checks, one a second, have failed. */
    private static final long ROTATION_MILLIS = 2_300;
    /** Connections of callers are closed by then, so no request comes between the last answer and the end. */
    private static final long CLOSING_MILLIS = 100;
    /** Left before the process is killed. */
    private static final long STOP_MARGIN_MILLIS = 700;

    private static final EventLog LOG = EventLog.of(HostProcess.class);

    private final PlatformSettings settings;
    private final SettingsWatch watch;
    private final int metricsPort;
    private final MonotonicClock clock = System::nanoTime;
    private final Vertx vertx = Vertx.vertx(new VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setBlockedThreadCheckInterval(3_600_000));
    private final Context context = vertx.getOrCreateContext();
    private final PeerTransport transport;
    private final StoreClient store;
    private final ConfigWatch config = new ConfigWatch();
    private final ServerRegistry registry = new ServerRegistry(clock);
    private final RequestLog requestLog = new RequestLog(clock);
    private final HostMetrics metrics = new HostMetrics();
    private final HostDirectory directory;
    private final ZoneDispatcher dispatcher;
    private final HostLinks links;
    private final JobForwarder jobs;
    private final CallerServer callers;
    private long registeredMillis = Long.MAX_VALUE;
    private long stopRequestedMillis = -1;
    private Runnable whenStopped = () -> {};

    /**
     * @param metricsPort port of the metrics on this host's address
     */
    HostProcess(PlatformSettings settings, SettingsWatch watch, int metricsPort) {
        this.metricsPort = metricsPort;
        this.settings = settings;
        this.watch = watch;
        this.transport = new PeerTransport(
                settings.host(),
                new Incarnation(new SecureRandom().nextLong()),
                PEER_LIMITS,
                FrameFilter.NONE,
                ((VertxInternal) vertx).nettyEventLoopGroup());
        this.store = new StoreClient(vertx, () -> watch.current().storeAddress());
        this.directory = new HostDirectory(settings.host());
        FencingTokens tokens = new FencingTokens(System::currentTimeMillis);
        ServerPool pool = ServerPool.create(
                new HttpServerOrders(vertx),
                tokens,
                settings.pool(),
                clock,
                new AllPoolEvents(List.of(new PoolLog(requestLog), metrics)));
        this.dispatcher = new ZoneDispatcher(
                settings.host(), settings.zone(), settings.processorMillicores(), pool, tokens, registry, clock);
        HostFailureDetector contacts = new HostFailureDetector(clock, dispatcher::waitingHosts);
        this.links = new HostLinks(transport, context, directory, contacts, dispatcher::state);
        this.jobs = new JobForwarder(
                settings.host(),
                transport,
                context,
                directory,
                links,
                dispatcher,
                config,
                new JobRouter(settings.zone()),
                new EntryObserver(requestLog, metrics),
                clock);
        this.callers = new CallerServer(vertx, jobs);
    }

    /** Starts everything; returns before the first configuration is known. */
    void start() throws IOException, InterruptedException {
        transport.start(settings.peerAddress());
        context.runOnContext(unused -> startOnContext());
    }

    private void startOnContext() {
        callers.start(settings.callerAddress(), settings.readinessAddress())
                .onSuccess(unused -> LOG.event(Logger.Level.INFO, "listening")
                        .with("callers", settings.callerAddress())
                        .write())
                .onFailure(e -> {
                    LOG.event(Logger.Level.FATAL, "cannot listen").cause(e).write();
                    Runtime.getRuntime().halt(Main.EXIT_FAILED);
                });
        new TopicFollower(vertx, store, SiteTopics.OPERATORS, CONFIG_WAIT_MILLIS, () -> 0, config).start();
        new TopicFollower(vertx, store, SiteTopics.SERVERS, 0, this::serversPauseMillis, registry).start();
        new TopicFollower(vertx, store, SiteTopics.HOSTS, 0, () -> HOSTS_PAUSE_MILLIS, directory).start();
        register();
        serveMetrics();
        scheduleTick();
        vertx.setPeriodic(SETTINGS_PERIOD_MILLIS, unused -> watch.reload());
    }

    private void serveMetrics() {
        metrics.gauge("entry.open_jobs", jobs::openJobs);
        metrics.gauge(
                "entry.config_version",
                () -> config.config().map(SiteConfig::version).orElse(0L));
        metrics.gauge("peers.heard", () -> links.heard().size());
        metrics.gauge("dispatcher.round", () -> dispatcher.state().round());
        metrics.gauge(
                "pool.capacity_millicores", () -> dispatcher.state().load().capacityMillicores());
        metrics.gauge("pool.free_millicores", () -> dispatcher.state().load().freeMillicores());
        metrics.gauge("pool.queued_core_millis", () -> dispatcher.state().load().queuedCoreMillis());
        metrics.gauge("pool.queued_jobs", () -> dispatcher.state().load().queuedJobs());
        String peerAddress = settings.peerAddress();
        metrics.serve(vertx, peerAddress.substring(0, peerAddress.lastIndexOf(':')), metricsPort);
    }

    private long serversPauseMillis() {
        return dispatcher.dispatching() ? SERVERS_PAUSE_MILLIS : SERVERS_IDLE_PAUSE_MILLIS;
    }

    /** An answer that is lost leaves a record behind and costs a number; the newest record of a host is the one that counts. */
    private void register() {
        var unused = store.append(
                        SiteTopics.HOSTS,
                        HostDirectory.record(settings.host(), settings.peerAddress()),
                        REGISTER_TIMEOUT_MILLIS)
                .subscribe(this::onRegistered, e -> {
                    LOG.event(Logger.Level.WARN, "not registered, trying again")
                            .with("reason", e.getMessage())
                            .write();
                    vertx.setTimer(REGISTER_RETRY_MILLIS, none -> register());
                });
    }

    private void onRegistered(long offset) {
        // Numbers start at 1, because 0 stands for a host without one.
        dispatcher.registered(offset + 1);
        registeredMillis = clock.millis();
        LOG.event(Logger.Level.INFO, "registered").with("number", offset + 1).write();
        links.tellAll();
    }

    /** Hosts that neither dispatch nor stop nor have jobs without a dispatcher sleep longer. */
    private void scheduleTick() {
        boolean busy = dispatcher.claims() || jobs.waitingJobs() > 0 || stopRequestedMillis >= 0;
        vertx.setTimer(busy ? TICK_MILLIS : IDLE_TICK_MILLIS, unused -> {
            scheduleTick();
            tick();
        });
    }

    private void tick() {
        links.tick();
        if (registeredMillis != Long.MAX_VALUE && clock.millis() - registeredMillis >= SETTLE_MILLIS) {
            boolean before = dispatcher.dispatching();
            dispatcher.review(links.heard());
            if (before != dispatcher.dispatching()) {
                metrics.dispatchingChanged();
                links.tellAll();
            }
        }
        dispatcher.tick(links::hears);
        jobs.tick();
        if (stopRequestedMillis >= 0) {
            stopIfDone();
        }
    }

    /** Reads the settings again. */
    void reload() {
        context.runOnContext(unused -> watch.reload());
    }

    /** Stops when all callers have their answers, or the time is up. */
    void stop(Runnable stopped) {
        context.runOnContext(unused -> {
            LOG.event(Logger.Level.INFO, "stopping")
                    .with("openJobs", jobs.openJobs())
                    .write();
            whenStopped = stopped;
            stopRequestedMillis = clock.millis();
            jobs.leave();
            callers.leave();
            dispatcher.leave();
            vertx.setTimer(ROTATION_MILLIS, none -> callers.close());
            links.tellAll();
        });
    }

    private void stopIfDone() {
        long elapsedMillis = clock.millis() - stopRequestedMillis;
        boolean idle = jobs.openJobs() == 0 && dispatcher.idle();
        boolean late = elapsedMillis >= settings.stopMillis() - STOP_MARGIN_MILLIS;
        if (late || (idle && elapsedMillis > ROTATION_MILLIS + CLOSING_MILLIS)) {
            stopRequestedMillis = -1;
            LOG.event(Logger.Level.INFO, "stopped")
                    .with("openJobs", jobs.openJobs())
                    .with("afterMillis", elapsedMillis)
                    .write();
            whenStopped.run();
        }
    }
}
