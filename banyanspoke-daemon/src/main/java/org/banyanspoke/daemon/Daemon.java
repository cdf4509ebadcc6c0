package org.banyanspoke.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.security.SecureRandom;
import java.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.dispatch.DispatcherSettings;
import org.banyanspoke.core.dispatch.Dispatchers;
import org.banyanspoke.core.dispatch.TaskTransport;
import org.banyanspoke.core.identity.ProcessIdentity;
import org.banyanspoke.core.routing.ServerPools;
import org.banyanspoke.core.schedule.TaskQueues;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.backend.BackendClient;
import org.banyanspoke.daemon.control.ControlService;
import org.banyanspoke.daemon.control.ControlSettings;
import org.banyanspoke.daemon.http.BodyBudget;
import org.banyanspoke.daemon.http.ForwardedRequestHandler;
import org.banyanspoke.daemon.http.HostStatus;
import org.banyanspoke.daemon.http.HttpService;
import org.banyanspoke.daemon.http.HttpServices;
import org.banyanspoke.daemon.jobs.DispatchService;
import org.banyanspoke.daemon.jobs.DispatchThread;
import org.banyanspoke.daemon.jobs.RxFutures;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.daemon.metrics.DaemonMetrics;
import org.banyanspoke.daemon.platform.HttpHostListClient;
import org.banyanspoke.daemon.platform.HttpLogClient;
import org.banyanspoke.daemon.platform.HttpServerCheck;
import org.banyanspoke.daemon.platform.PlatformTraffic;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.peer.FrameFilter;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.settings.Settings;
import org.jboss.logging.Logger;

/** One entry host process: creates, registers and starts the services, and runs until its graceful shutdown ends. */
final class Daemon implements HostStatus {
    private static final int JOB_ID_KEY_BYTES = 32;

    /** With more event loops that parse requests, the single dispatch thread is the bottleneck. */
    private static final int MAX_CALLER_EVENT_LOOPS = 3;

    private static final EventLog LOG = EventLog.of(Daemon.class);

    private final Settings settings;
    private final ProcessIdentity identity;
    private final byte[] jobIdKey = new byte[JOB_ID_KEY_BYTES];
    private final MonotonicClock clock = System::nanoTime;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    private final PlatformTraffic platformTraffic = new PlatformTraffic();
    private final Kernel kernel = new Kernel();
    private final int callerEventLoops =
            Math.max(1, Math.min(MAX_CALLER_EVENT_LOOPS, Runtime.getRuntime().availableProcessors() - 1));
    private final Vertx ioVertx = createVertx(callerEventLoops + 1);
    private final Vertx dispatchVertx = createVertx(1);

    private final ControlService control;
    private final DispatchService dispatch;
    private final HttpService callers;
    private final HostAdmissionGate gate;
    private final DrainCoordinator drain;
    private final StoppableForwarder forwarder;

    Daemon(Settings settings) {
        this.settings = settings;
        SecureRandom secureRandom = new SecureRandom();
        secureRandom.nextBytes(jobIdKey);
        this.identity = new ProcessIdentity(
                settings.host().id(),
                settings.peer().advertisedAddress().toString(),
                new Incarnation(secureRandom.nextLong()));
        DaemonMetrics metrics = new DaemonMetrics(new MetricRegistry(), clock);
        BodyBudget bodies = new BodyBudget(settings.callers().maxHeldBodyBytes());
        metrics.addCounters(bodies::counters);
        this.control = createControl();
        metrics.addCounters(() -> control.load().counters(platformTraffic));
        this.gate = new HostAdmissionGate(control::readiness);
        this.dispatch = createDispatch(new DispatchEventReporter(metrics, control));
        this.drain =
                new DrainCoordinator(ioVertx, settings.drainNoticeMillis(), this::drainJobs, this::handOverRecords);
        this.forwarder = new StoppableForwarder(control::forward);
        this.callers = HttpServices.callers(
                ioVertx, settings.callers(), callerEventLoops, control, dispatch, forwarder, this, bodies, metrics);
        control.attach(new ForwardedRequestHandler(dispatch, bodies));
        register(metrics);
    }

    /** Starts the services, waits for the graceful shutdown and stops the services. Must be called at most once. */
    ExitCode run() {
        try {
            kernel.start();
        } catch (Exception e) {
            LOG.event(Logger.Level.ERROR, "failed to start").cause(e).write();
            return ExitCode.START_FAILED;
        }
        Thread main = Thread.currentThread();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopOnSignal(main), "planned-stop"));
        LOG.event(Logger.Level.INFO, "started")
                .with("callersPort", callers.port())
                .with("incarnation", identity.incarnation())
                .write();
        return awaitShutdown();
    }

    @Override
    public HostId host() {
        return identity.host();
    }

    @Override
    public ZoneId zone() {
        return settings.host().zone();
    }

    @Override
    public Incarnation incarnation() {
        return identity.incarnation();
    }

    @Override
    public boolean ready() {
        return !draining() && control.readiness().ready();
    }

    @Override
    public boolean draining() {
        return drain.isRequested();
    }

    @Override
    public void requestDrain() {
        drain.request();
    }

    private ControlService createControl() {
        io.vertx.rxjava3.core.Vertx rxVertx = io.vertx.rxjava3.core.Vertx.newInstance(ioVertx);
        ControlSettings controlSettings = new ControlSettings(
                identity.host(),
                identity.incarnation(),
                settings.host().zone(),
                settings.peer().address().toString(),
                identity.peerAddress(),
                settings.peer().seeds().stream().map(Object::toString).toList());
        return new ControlService(
                controlSettings,
                new HttpLogClient(rxVertx, settings.logAddress().toString(), platformTraffic),
                new HttpHostListClient(rxVertx, settings.hostListAddress().toString(), platformTraffic),
                new HttpServerCheck(rxVertx),
                new PeerTransport(identity.host(), identity.incarnation(), TransportLimits.DEFAULT, FrameFilter.NONE),
                clock,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    private DispatchService createDispatch(DispatcherListener listener) {
        DispatchThread thread = new DispatchThread(dispatchVertx.getOrCreateContext());
        BackendClient backend = new BackendClient(dispatchVertx, thread.context(), clock);
        return new DispatchService(dispatchVertx, thread, backend, this::createDispatcher, gate, listener);
    }

    private Dispatcher createDispatcher(TaskTransport transport, DispatcherListener listener) {
        boolean adaptive = settings.policy() == Settings.Policy.ADAPTIVE;
        return Dispatchers.create(
                identity,
                jobIdKey,
                clock,
                Clock.systemUTC(),
                adaptive ? TaskQueues.fairShare(clock) : Dispatchers.baselineQueue(),
                adaptive ? ServerPools.adaptive(identity.host(), clock, random) : Dispatchers.baselinePool(random),
                transport,
                listener,
                DispatcherSettings.DEFAULT);
    }

    private void register(DaemonMetrics metrics) {
        kernel.register(DispatchService.NAME, dispatch);
        kernel.register(ControlService.NAME, control);
        kernel.register(ConfigPropagator.NAME, new ConfigPropagator(control, dispatch));
        kernel.register(HttpServices.CALLERS, callers);
        kernel.register(HttpServices.ADMIN, HttpServices.admin(ioVertx, settings, this, control, dispatch, metrics));
    }

    private Future<Void> drainJobs() {
        gate.startDraining();
        return Future.all(dispatch.drain(), forwarder.stop()).mapEmpty();
    }

    private Future<Void> handOverRecords() {
        return dispatch.query(Dispatcher::archive)
                .compose(archive -> RxFutures.toFuture(control.leave(archive)))
                .map(successor -> {
                    LOG.event(Logger.Level.INFO, "graceful shutdown: job records handed over to another host")
                            .with("successor", successor.map(HostId::value).orElse("none"))
                            .write();
                    return null;
                });
    }

    private ExitCode awaitShutdown() {
        try {
            drain.awaitEnd();
            callers.awaitResponses();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.STOP_FAILED;
        }
        kernel.stop();
        ioVertx.close().onFailure(Daemon::logCloseFailure);
        LOG.event(Logger.Level.INFO, "stopped").write();
        return drain.hasFailed() ? ExitCode.STOP_FAILED : ExitCode.OK;
    }

    private static void logCloseFailure(Throwable e) {
        LOG.event(Logger.Level.WARN, "failed to close the event loops").cause(e).write();
    }

    /**
     * Shutdown hook, run on SIGTERM. Waits for the main thread, which halts the process with its own exit code; if the
     * hook returned first, the exit code would be 143. A second SIGTERM has no effect.
     */
    private void stopOnSignal(Thread main) {
        drain.request();
        try {
            main.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Disables the file cache of Vert.x, because entry hosts have no disk. */
    private static Vertx createVertx(int eventLoops) {
        FileSystemOptions noFileCache =
                new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false);
        return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(eventLoops).setFileSystemOptions(noFileCache));
    }
}
