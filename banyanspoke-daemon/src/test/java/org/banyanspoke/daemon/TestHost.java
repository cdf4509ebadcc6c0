package org.banyanspoke.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import com.google.common.net.HostAndPort;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.dispatch.DispatcherSettings;
import org.banyanspoke.core.dispatch.Dispatchers;
import org.banyanspoke.core.dispatch.TaskTransport;
import org.banyanspoke.core.identity.ProcessIdentity;
import org.banyanspoke.core.quota.QuotaLending;
import org.banyanspoke.core.quota.QuotaLendings;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.backend.BackendClient;
import org.banyanspoke.daemon.control.JobForwarder;
import org.banyanspoke.daemon.control.LocalDispatch;
import org.banyanspoke.daemon.http.BodyBudget;
import org.banyanspoke.daemon.http.ForwardedRequestHandler;
import org.banyanspoke.daemon.http.HostStatus;
import org.banyanspoke.daemon.http.HttpService;
import org.banyanspoke.daemon.http.HttpServices;
import org.banyanspoke.daemon.jobs.DispatchService;
import org.banyanspoke.daemon.jobs.DispatchThread;
import org.banyanspoke.daemon.metrics.DaemonMetrics;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.settings.Settings;
import org.jboss.logging.Logger;

/** Runs the daemon services in the test process, with both HTTP ports, the real dispatcher and a stub control plane. */
public final class TestHost implements HostStatus, AutoCloseable {
    public static final int MAX_BODY_BYTES = 100_000;
    public static final long BODY_TIMEOUT_MILLIS = 300;
    public static final long MAX_HELD_BODY_BYTES = 4 * MAX_BODY_BYTES;
    public static final long HEAD_TIMEOUT_MILLIS = 1_000;
    public static final long IDLE_TIMEOUT_MILLIS = 3_000;

    private static final HostId HOST = new HostId("h1");
    private static final ZoneId ZONE = new ZoneId("z1");
    private static final HostAndPort ANY_PORT = HostAndPort.fromString("127.0.0.1:0");
    private static final HostAndPort PEER_ADDRESS = HostAndPort.fromString("127.0.0.1:1");

    private final MonotonicClock clock = System::nanoTime;
    private final Vertx vertx = Vertx.vertx();
    private final Vertx dispatchVertx = Vertx.vertx();
    private final Incarnation incarnation;
    private final Kernel kernel = new Kernel();
    private final HttpService callers;
    private final HttpService admin;

    /** Dispatch service with the jobs of this host. */
    public final DispatchService dispatch;

    /** Set when the drain route of the operators' port was called. */
    public volatile boolean drainRequested;

    /** Handles requests that other hosts forward to this host. */
    public final LocalDispatch forwardedRequestHandler;

    /** Creates a host that cannot forward requests to other hosts. */
    public TestHost(String backendAddress) throws Exception {
        this(
                backendAddress,
                7,
                (request, timeoutMillis) ->
                        Single.error(new DispatchException(ErrorKind.OWNER_UNREACHABLE, "no other host in this test")));
    }

    public TestHost(String backendAddress, long incarnation, JobForwarder forwarder) throws Exception {
        this.incarnation = new Incarnation(incarnation);
        DaemonMetrics metrics = new DaemonMetrics(new MetricRegistry(), clock);
        BodyBudget bodies = new BodyBudget(MAX_HELD_BODY_BYTES);
        metrics.addCounters(bodies::counters);
        StubControlPlane control = new StubControlPlane(config(backendAddress));
        DispatchThread thread = new DispatchThread(dispatchVertx.getOrCreateContext());
        BackendClient backend = new BackendClient(dispatchVertx, thread.context(), clock);
        dispatch = new DispatchService(
                dispatchVertx,
                thread,
                backend,
                this::createDispatcher,
                new HostAdmissionGate(control::readiness),
                metrics);
        forwardedRequestHandler = new ForwardedRequestHandler(dispatch, bodies);
        callers = HttpServices.callers(
                vertx, settings().callers(), 1, control, dispatch, forwarder, this, bodies, metrics);
        admin = HttpServices.admin(vertx, settings(), this, control, dispatch, metrics);
        kernel.register(DispatchService.NAME, dispatch);
        kernel.register(ConfigPropagator.NAME, new ConfigPropagator(control, dispatch));
        kernel.register(HttpServices.CALLERS, callers);
        kernel.register(HttpServices.ADMIN, admin);
        kernel.start();
        QuotaLending quotas = QuotaLendings.halfOfUnused(HOST, clock, RandomSource.XO_RO_SHI_RO_128_PP.create());
        quotas.configure(control.config());
        dispatch.run(dispatcher -> dispatcher.setQuotaShares(quotas.shares()));
    }

    public int callersPort() {
        return callers.port();
    }

    public int adminPort() {
        return admin.port();
    }

    @Override
    public HostId host() {
        return HOST;
    }

    @Override
    public ZoneId zone() {
        return ZONE;
    }

    @Override
    public Incarnation incarnation() {
        return incarnation;
    }

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public boolean draining() {
        return drainRequested;
    }

    @Override
    public void requestDrain() {
        drainRequested = true;
    }

    @Override
    public void close() {
        kernel.stop();
        vertx.close().onFailure(e -> Logger.getLogger(TestHost.class).warn("failed to close the event loops", e));
    }

    private Dispatcher createDispatcher(TaskTransport transport, DispatcherListener listener) {
        return Dispatchers.create(
                new ProcessIdentity(HOST, "127.0.0.1:1", incarnation),
                new byte[32],
                clock,
                Clock.systemUTC(),
                Dispatchers.baselineQueue(),
                Dispatchers.baselinePool(RandomSource.XO_RO_SHI_RO_128_PP.create()),
                transport,
                listener,
                DispatcherSettings.DEFAULT);
    }

    private static Settings settings() {
        return new Settings(
                new Settings.Host(HOST, ZONE, "r1"),
                new Settings.Callers(
                        ANY_PORT,
                        MAX_BODY_BYTES,
                        BODY_TIMEOUT_MILLIS,
                        MAX_HELD_BODY_BYTES,
                        HEAD_TIMEOUT_MILLIS,
                        IDLE_TIMEOUT_MILLIS),
                new Settings.Admin(ANY_PORT, Map.of("alice", sha256("operator-token"))),
                new Settings.Peer(PEER_ADDRESS, PEER_ADDRESS, List.of()),
                ANY_PORT,
                ANY_PORT,
                0,
                Settings.Policy.BASELINE,
                Logger.Level.INFO);
    }

    private static ConfigState config(String backendAddress) {
        BackendServerConfig server = new BackendServerConfig(
                new ServerId("s1"), ZONE, "r1", backendAddress, 8, 64, Set.of(), ServerState.IN_SERVICE);
        BatchConfig batch = new BatchConfig(
                new BatchId("b1"),
                new TeamId("red"),
                UrgencyClass.NORMAL,
                Instant.now().plusSeconds(3_600),
                20_000,
                Set.of(),
                Set.of());
        return new ConfigState(
                1,
                Map.of(new TeamId("red"), team("red"), new TeamId("blue"), team("blue")),
                Map.of(batch.id(), batch),
                Map.of(server.id(), server),
                Map.of(HOST, new EntryHostConfig(HOST, ZONE, "127.0.0.1:1")),
                ClassShares.DEFAULT);
    }

    private static TeamConfig team(String name) {
        return new TeamConfig(new TeamId(name), 1, 1_000_000, 100_000, sha256(name + "-token"));
    }

    private static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
