package org.banyanspoke.host;

import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.VertxInternal;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.FencingTokens;
import org.banyanspoke.core.ownership.HostFailureDetector;
import org.banyanspoke.core.ownership.JobRouter;
import org.banyanspoke.core.ownership.ZoneElection;
import org.banyanspoke.core.ownership.ZoneEvacuation;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.SiteConfig;
import org.banyanspoke.core.time.ElapsedClock;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.peer.FrameFilter;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.platform.CallerServer;
import org.banyanspoke.platform.ConnectionLimits;
import org.banyanspoke.platform.HttpServerCommands;
import org.banyanspoke.platform.PlatformSettings;
import org.banyanspoke.platform.SiteTopics;
import org.banyanspoke.platform.StoreClient;
import org.jboss.logging.Logger;

/** An entry host: wires its components and runs them on a single event loop thread. */
final class HostProcess {
    /** A heartbeat follows after this time without traffic; the connection is closed after twice this time. */
    private static final long PEER_SILENCE_MILLIS = 300;

    private static final TransportLimits PEER_LIMITS =
            new TransportLimits(4 * 1024 * 1024, 16L * 1024 * 1024, 500, PEER_SILENCE_MILLIS, 60_000);
    /** Resolution of deadlines. */
    private static final long TICK_MILLIS = 20;
    /** Resolution of the detection of lost hosts on an idle host. */
    private static final long IDLE_TICK_MILLIS = 60;

    private static final long REGISTER_TIMEOUT_MILLIS = 1_000;
    private static final long REGISTER_RETRY_MILLIS = 300;
    /** Long-poll wait: changes arrive at once, and an unresponsive connection is detected soon after this time. */
    private static final long CONFIG_POLL_WAIT_MILLIS = 1_000;
    /** Poll interval; host records change rarely, and hosts also announce themselves in state messages. */
    private static final long HOSTS_POLL_MILLIS = 1_500;
    /** Reload interval, because the settings file may change without SIGHUP. */
    private static final long SETTINGS_RELOAD_MILLIS = 2_000;
    /** Poll interval of a dispatcher; bounds the delay until it detects a server that is leaving. */
    private static final long SERVERS_POLL_MILLIS = 400;

    private static final long SERVERS_IDLE_POLL_MILLIS = 1_200;
    /** The platform routes new connections here until two readiness checks, 1 s apart, have failed. */
    private static final long READINESS_PROPAGATION_MILLIS = 2_300;
    /** Time to close the callers' connections, so that no request arrives between the last answer and the exit. */
    private static final long CONNECTION_CLOSE_MILLIS = 100;
    /** Time reserved for the exit before the platform kills the process. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    /** Sub-second tasks of started jobs end within this time after a request to evacuate the zone. */
    private static final long EVACUATION_GRACE_MILLIS = 1_000;
    /** The grace period takes at most this part of the time until the last start; reading the request takes the rest. */
    private static final int EVACUATION_GRACE_DIVISOR = 4;

    private static final EventLog LOG = EventLog.of(HostProcess.class);

    private final PlatformSettings settings;
    private final SettingsWatch settingsWatch;
    private final int metricsPort;
    private final MonotonicClock clock = System::nanoTime;
    private final MonotonicClock elapsedClock = new ElapsedClock(clock, System::currentTimeMillis, randomOriginNanos());
    private final InputProgress input = new InputProgress(clock, elapsedClock);
    private final ErrorGuard guard = new ErrorGuard(clock);
    private final Vertx vertx = Vertx.builder()
            .with(new VertxOptions()
                    .setEventLoopPoolSize(1)
                    .setWorkerPoolSize(1)
                    .setInternalBlockingPoolSize(1)
                    .setBlockedThreadCheckInterval(3_600_000))
            .withTransport(new ObservedTransport(input))
            .build();
    private final Context context = vertx.getOrCreateContext();
    private final PeerTransport transport;
    private final StoreClient store;
    private final ConfigWatch config = new ConfigWatch();
    private final ServerRegistry registry = new ServerRegistry(clock);
    private final EvacuationWatch evacuations;
    private final RequestLog requestLog = new RequestLog(clock);
    private final HostMetrics metrics = new HostMetrics();
    private final HostDirectory directory;
    private final ZoneDispatcher dispatcher;
    private final HostStateExchange exchange;
    private final JobForwarder jobs;
    private final CallerServer callers;
    private long registration;
    private long registeredMillis = Long.MAX_VALUE;
    /** Whether this host takes part in the election of its zone's dispatcher. */
    private boolean informed;

    private long stopRequestedMillis = -1;
    private Runnable onStopped = () -> {};

    /**
     * @param metricsPort port on which metrics are served, on this host's peer address
     */
    HostProcess(PlatformSettings settings, SettingsWatch settingsWatch, int metricsPort) {
        this.metricsPort = metricsPort;
        this.settings = settings;
        this.settingsWatch = settingsWatch;
        this.transport = new PeerTransport(
                settings.host(),
                new Incarnation(new SecureRandom().nextLong()),
                PEER_LIMITS,
                FrameFilter.NONE,
                ((VertxInternal) vertx).nettyEventLoopGroup());
        this.store = new StoreClient(vertx, () -> settingsWatch.current().storeAddress());
        this.directory = new HostDirectory(settings.host());
        JobContacts contacts = new JobContacts(
                settings.host(),
                elapsedClock,
                input::behindMillis,
                settings.pool().contactCheckAgeMillis());
        FencingTokens tokens = new FencingTokens(System::currentTimeMillis);
        ServerPool pool = ServerPool.create(
                new HttpServerCommands(vertx),
                tokens,
                settings.pool(),
                clock,
                input::readUntilNanos,
                contacts,
                new CompositePoolListener(List.of(new PoolEventLog(requestLog), metrics), guard));
        long lastStartMillis = settings.evacuateMillis() - settings.pool().maxRunLeaseMillis();
        ZoneEvacuation evacuation = new ZoneEvacuation(
                Math.min(EVACUATION_GRACE_MILLIS, lastStartMillis / EVACUATION_GRACE_DIVISOR),
                lastStartMillis,
                elapsedClock);
        this.dispatcher = new ZoneDispatcher(
                settings.host(),
                settings.zone(),
                settings.processorMillicores(),
                pool,
                contacts,
                tokens,
                registry,
                evacuation,
                clock,
                System::currentTimeMillis);
        this.evacuations = new EvacuationWatch(settings.zone(), elapsedClock, this::onEvacuationRead);
        HostFailureDetector failureDetector = new HostFailureDetector(clock, dispatcher::waitingHosts);
        this.exchange = new HostStateExchange(
                transport, context, directory, failureDetector, dispatcher::state, elapsedClock, guard);
        this.jobs = new JobForwarder(
                settings.host(),
                transport,
                context,
                directory,
                exchange,
                dispatcher,
                config,
                evacuations,
                new JobRouter(settings.zone(), new SplittableRandom()),
                new EntryObserver(requestLog, metrics),
                clock,
                contacts,
                input);
        this.callers = new CallerServer(
                vertx, jobs, ConnectionLimits.derive(Runtime.getRuntime().maxMemory(), settings.maxDescriptors()));
    }

    private static long randomOriginNanos() {
        return TimeUnit.MILLISECONDS.toNanos(1 + new SecureRandom().nextInt(Integer.MAX_VALUE));
    }

    /** Starts all components; returns before the first configuration has been read. */
    void start() throws IOException, InterruptedException {
        // Errors that no subscriber can receive any more end nothing but the work that raised them.
        RxJavaPlugins.setErrorHandler(
                error -> context.runOnContext(unused -> guard.recordError("reactive stream", error)));
        vertx.exceptionHandler(error -> context.runOnContext(unused -> guard.recordError("event handler", error)));
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
                    Runtime.getRuntime().halt(Main.EXIT_START_FAILED);
                });
        follow(
                SiteTopics.OPERATORS,
                CONFIG_POLL_WAIT_MILLIS,
                () -> 0,
                new CompositeTopicListener(List.of(config, evacuations), guard));
        follow(SiteTopics.SERVERS, 0, this::serversPollMillis, registry);
        follow(SiteTopics.HOSTS, 0, () -> HOSTS_POLL_MILLIS, directory);
        register();
        serveMetrics();
        scheduleTick();
        vertx.setPeriodic(SETTINGS_RELOAD_MILLIS, unused -> guard.run("reload settings", settingsWatch::reload));
    }

    private void follow(String topic, long waitMillis, LongSupplier pauseMillis, TopicFollower.Listener listener) {
        new TopicFollower(vertx, store, topic, waitMillis, pauseMillis, listener, guard).readNext();
    }

    private void serveMetrics() {
        metrics.gauge("entry.open_jobs", jobs::openJobs);
        metrics.gauge(
                "entry.config_version",
                () -> config.config().map(SiteConfig::version).orElse(0L));
        metrics.gauge("callers.connections", callers.callerConnections()::openConnections);
        metrics.gauge("callers.held_bytes", callers.callerConnections()::heldBytes);
        metrics.gauge("callers.connections_refused", callers.callerConnections()::refused);
        metrics.gauge("input.behind_millis", input::behindMillis);
        metrics.gauge("pool.jobs_refused_as_cancelled", dispatcher::refusedAsCancelled);
        metrics.gauge("peers.heard", () -> exchange.liveStates().size());
        metrics.gauge("dispatcher.round", () -> dispatcher.state().round());
        metrics.gauge(
                "pool.capacity_millicores", () -> dispatcher.state().load().capacityMillicores());
        metrics.gauge("pool.free_millicores", () -> dispatcher.state().load().freeMillicores());
        metrics.gauge("pool.queued_core_millis", () -> dispatcher.state().load().queuedCoreMillis());
        metrics.gauge("pool.jobs_refused_by_evacuation", dispatcher::refusedByEvacuation);
        metrics.gauge("zone.evacuated", () -> evacuations.isOwnZoneEvacuated() ? 1 : 0);
        metrics.gauge("pool.queued_jobs", () -> dispatcher.state().load().queuedJobs());
        metrics.gauge(
                "pool.slots_largest_queued", () -> dispatcher.state().load().slotsOfLargestQueued());
        String peerAddress = settings.peerAddress();
        metrics.serve(vertx, peerAddress.substring(0, peerAddress.lastIndexOf(':')), metricsPort);
    }

    private long serversPollMillis() {
        return dispatcher.dispatching() ? SERVERS_POLL_MILLIS : SERVERS_IDLE_POLL_MILLIS;
    }

    /** Appends the registration record. A retry after a lost response appends another; the newest of a host counts. */
    private void register() {
        var unused = store.append(
                        SiteTopics.HOSTS,
                        HostDirectory.record(settings.host(), settings.peerAddress()),
                        REGISTER_TIMEOUT_MILLIS)
                .subscribe(this::onRegistered, e -> {
                    LOG.event(Logger.Level.WARN, "registration failed, retrying")
                            .with("reason", e.getMessage())
                            .write();
                    vertx.setTimer(REGISTER_RETRY_MILLIS, none -> register());
                });
    }

    private void onRegistered(long offset) {
        // Registration numbers start at 1; 0 means not registered.
        registration = offset + 1;
        LOG.event(Logger.Level.INFO, "registered").with("number", registration).write();
        announceRegistration();
    }

    private void onEvacuationRead(boolean requested, long offset, long absentAtMillis) {
        dispatcher.onEvacuationRead(requested, offset, absentAtMillis);
        announceRegistration();
    }

    /**
     * Takes part in the election once this host is registered and knows whether its zone is evacuated. Until then the
     * others do not wait for it to dispatch.
     */
    private void announceRegistration() {
        if (registration == 0 || !evacuations.hasRead() || registeredMillis != Long.MAX_VALUE) {
            return;
        }
        dispatcher.setRegistration(registration);
        registeredMillis = clock.millis();
        exchange.broadcast();
    }

    /** Schedules the next tick; hosts that do not dispatch or stop and have no waiting jobs tick less often. */
    private void scheduleTick() {
        boolean busy = dispatcher.hasClaim() || jobs.waitingJobs() > 0 || stopRequestedMillis >= 0;
        vertx.setTimer(busy ? TICK_MILLIS : IDLE_TICK_MILLIS, unused -> {
            scheduleTick();
            tick();
        });
    }

    private void tick() {
        guard.run("exchange states", exchange::tick);
        guard.run("elect dispatcher", this::reconcile);
        guard.run("dispatch", () -> dispatcher.tick(exchange::isAlive));
        guard.run("check contacts", jobs::checkContacts);
        guard.run("place jobs", jobs::tick);
        guard.run("check evacuated zones", () -> evacuations.checkNames(this::isNamed));
        if (stopRequestedMillis >= 0) {
            stopIfDone();
        }
    }

    /** Returns whether this host, another live one or a server names a zone. */
    private boolean isNamed(ZoneId zone) {
        return zone.equals(settings.zone())
                || exchange.liveStates().stream().anyMatch(each -> each.zone().equals(zone))
                || !registry.serversIn(zone).isEmpty();
    }

    private void reconcile() {
        if (!informed && !isInformed()) {
            return;
        }
        informed = true;
        boolean wasDispatching = dispatcher.dispatching();
        dispatcher.reconcile(exchange.liveStates());
        if (wasDispatching != dispatcher.dispatching()) {
            metrics.dispatchingChanged();
            exchange.broadcast();
        }
    }

    private boolean isInformed() {
        return registeredMillis != Long.MAX_VALUE
                && ZoneElection.isInformed(
                        dispatcher.state(),
                        directory.otherHosts(),
                        exchange.liveStates(),
                        clock.millis() - registeredMillis);
    }

    /** Reloads the settings. */
    void reload() {
        context.runOnContext(unused -> settingsWatch.reload());
    }

    /** Stops gracefully: runs {@code stopped} once all callers have their answers or the time limit is reached. */
    void stop(Runnable stopped) {
        context.runOnContext(unused -> {
            LOG.event(Logger.Level.INFO, "stopping")
                    .with("openJobs", jobs.openJobs())
                    .write();
            onStopped = stopped;
            stopRequestedMillis = clock.millis();
            jobs.startDraining();
            callers.startDraining();
            dispatcher.startDraining();
            vertx.setTimer(READINESS_PROPAGATION_MILLIS, none -> callers.close());
            exchange.broadcast();
        });
    }

    private void stopIfDone() {
        long elapsedMillis = clock.millis() - stopRequestedMillis;
        boolean idle = jobs.openJobs() == 0 && dispatcher.idle();
        boolean timedOut = elapsedMillis >= settings.terminationGraceMillis() - EXIT_MARGIN_MILLIS;
        if (timedOut || (idle && elapsedMillis > READINESS_PROPAGATION_MILLIS + CONNECTION_CLOSE_MILLIS)) {
            stopRequestedMillis = -1;
            LOG.event(Logger.Level.INFO, "stopped")
                    .with("openJobs", jobs.openJobs())
                    .with("afterMillis", elapsedMillis)
                    .write();
            onStopped.run();
        }
    }
}
