package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.config.AcceptedTicket;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.config.ConfigTracker;
import org.banyanspoke.core.identity.JobArchive;
import org.banyanspoke.core.membership.Gossip;
import org.banyanspoke.core.membership.Member;
import org.banyanspoke.core.membership.Swim;
import org.banyanspoke.core.quota.QuotaLendings;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.control.internal.ArchiveStore;
import org.banyanspoke.daemon.control.internal.ByteRateLimiter;
import org.banyanspoke.daemon.control.internal.ConfigConfirmation;
import org.banyanspoke.daemon.control.internal.ConfigDisseminator;
import org.banyanspoke.daemon.control.internal.ConfigHolder;
import org.banyanspoke.daemon.control.internal.ControlHeap;
import org.banyanspoke.daemon.control.internal.HostListPoller;
import org.banyanspoke.daemon.control.internal.LeavingServersPublisher;
import org.banyanspoke.daemon.control.internal.LoanExchange;
import org.banyanspoke.daemon.control.internal.LogReader;
import org.banyanspoke.daemon.control.internal.MemberViews;
import org.banyanspoke.daemon.control.internal.PeerJobForwarder;
import org.banyanspoke.daemon.control.internal.PeerRpc;
import org.banyanspoke.daemon.control.internal.Prober;
import org.banyanspoke.daemon.control.internal.RoleAssignment;
import org.banyanspoke.daemon.control.internal.ServerReplacementDetector;
import org.banyanspoke.daemon.control.internal.TicketAppender;
import org.banyanspoke.daemon.platform.HostListClient;
import org.banyanspoke.daemon.platform.LogClient;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.kernel.Service;
import org.banyanspoke.kernel.ServiceName;
import org.banyanspoke.peer.PeerTransport;
import org.jboss.logging.Logger;

/** Runs the control plane; owns the control thread and all control state. */
public final class ControlService implements Service, ControlPlane, JobForwarder, Handover {
    /** Name under which this service is registered with the kernel. */
    public static final ServiceName<ControlService> NAME = new ServiceName<>("control", ControlService.class);

    private static final Logger LOG = Logger.getLogger(ControlService.class);

    /** Tickets of two days at the design load of 410 per day. */
    private static final int RETAINED_TICKETS = 1_000;

    /** Well below the 300 ms timeout of a direct probe and the 1 s threshold of pause detection. */
    private static final long TICK_MILLIS = 100;

    /** Log poll interval; 12 readers cause 24 reads/s. */
    private static final long POLL_MILLIS = 500;

    /**
     * The list itself lags, so the poll interval must be short against the seconds in which a leaving server must stop
     * receiving tasks.
     */
    private static final long HOST_LIST_POLL_MILLIS = 500;

    /** A restart takes seconds; two hosts query each leaving server, so it receives two small requests per interval. */
    private static final long LEAVING_SERVER_CHECK_MILLIS = 2_000;

    /** Leaves 2.1 KB/s of the 3 KB/s control traffic limit for probes and the log. An unchanged list costs 0.6 KB/s. */
    private static final long HOST_LIST_BYTES_PER_SECOND = 900;

    /** Three full lists at the design size, so that changes in quick succession are read without delay. */
    private static final long HOST_LIST_BURST_BYTES = 128 * 1024;

    private static final long SECOND_MILLIS = 1_000;
    private static final long SNAPSHOT_CHECK_MILLIS = 10_000;

    /** Interval of full state exchanges, which repair updates that gossip missed; about 6 KB each at 180 members. */
    private static final long FULL_EXCHANGE_MILLIS = 30_000;

    /** Peers queried in parallel while the configuration is missing or not confirmed. */
    private static final int PULL_FANOUT = 2;

    private static final Readiness STALLED = Readiness.notReady("this process was paused");

    private final ControlSettings settings;
    private final PeerTransport transport;
    private final ScheduledExecutorService executor;
    private final Scheduler controlThread;
    private final UniformRandomProvider random;
    private final ConfigHolder config;
    private final ConfigConfirmation confirmation;
    private final Swim swim;
    private final LogReader reader;
    private final TicketAppender appender;
    private final RoleAssignment roles;
    private final HostListPoller hostList;
    private final LeavingServersPublisher leaving;
    private final ServerReplacementDetector replacementDetector;
    private final PeerRpc peers;
    private final Prober prober;
    private final ConfigDisseminator disseminator;
    private final ArchiveStore archives;
    private final PeerJobForwarder forwards;
    private final LoanExchange loans;
    private final CompositeDisposable tasks = new CompositeDisposable();
    private volatile Readiness readiness = Readiness.notReady("the configuration has not been read yet");
    private volatile List<MemberView> members = List.of();
    private volatile Thread thread;
    private volatile long heapBytes;
    private ConfigState inForce = ConfigState.EMPTY;

    /**
     * @param settings this host
     * @param log the platform's log
     * @param hostListClient the platform's list of hosts
     * @param serverCheck queries leaving backend servers
     * @param transport carries messages between entry hosts; started and stopped by this service
     * @param clock for timeouts and intervals
     * @param random selects members; used on the control thread only
     */
    public ControlService(
            ControlSettings settings,
            LogClient log,
            HostListClient hostListClient,
            ServerCheck serverCheck,
            PeerTransport transport,
            MonotonicClock clock,
            UniformRandomProvider random) {
        this.settings = settings;
        this.transport = transport;
        this.random = random;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> thread = new Thread(task, "control"));
        this.controlThread = Schedulers.from(executor);
        this.config = new ConfigHolder(new ConfigTracker(RETAINED_TICKETS));
        this.confirmation = new ConfigConfirmation(clock, config);
        this.swim = new Swim(settings.host(), settings.incarnation(), clock, random);
        this.reader = new LogReader(log, config, controlThread, this::onLogTicket);
        this.appender = new TicketAppender(log, reader, config, controlThread, clock);
        this.roles = new RoleAssignment(settings.host(), settings.zone(), swim, config, reader, log, clock);
        ByteRateLimiter rateLimiter = new ByteRateLimiter(HOST_LIST_BYTES_PER_SECOND, HOST_LIST_BURST_BYTES, clock);
        this.hostList = new HostListPoller(hostListClient, rateLimiter, swim.servers(), config, controlThread);
        this.replacementDetector =
                new ServerReplacementDetector(serverCheck, swim.servers(), config, roles, controlThread);
        this.peers = new PeerRpc(transport, swim, controlThread, random);
        this.disseminator = new ConfigDisseminator(config, confirmation, swim, peers);
        this.prober = new Prober(swim, peers, this::onGossip);
        this.leaving = new LeavingServersPublisher(swim.servers(), prober::sendPendingUpdates, clock);
        this.archives = new ArchiveStore(
                swim,
                settings.zone(),
                peers,
                controlThread,
                ArchiveStore.newArchivedJobs(clock),
                prober::sendPendingUpdates);
        this.forwards = new PeerJobForwarder(settings.incarnation(), swim, peers, archives, controlThread);
        this.loans = new LoanExchange(
                QuotaLendings.halfOfUnused(settings.host(), clock, random), swim, peers, controlThread);
    }

    @Override
    public void start(Kernel kernel) throws Exception {
        prober.start();
        disseminator.start();
        archives.start();
        forwards.start();
        loans.start();
        transport.start(settings.listenAddress());
        tasks.add(config.states()
                .subscribe(this::onConfig, e -> LOG.error("the configuration stream terminated with an error", e)));
        every(TICK_MILLIS, this::tick);
        every(SECOND_MILLIS, this::everySecond);
        everyTask(POLL_MILLIS, this::pollIfDue);
        everyTask(SECOND_MILLIS, this::pullIfDue);
        everyTask(FULL_EXCHANGE_MILLIS, this::exchange);
        everyTask(HOST_LIST_POLL_MILLIS, this::readHostListIfDue);
        everyTask(
                LEAVING_SERVER_CHECK_MILLIS,
                () -> replacementDetector.checkAll().doOnComplete(leaving::publish));
        everyTask(SNAPSHOT_CHECK_MILLIS, roles::writeSnapshotIfDue);
    }

    @Override
    public void stop() throws InterruptedException {
        tasks.dispose();
        prober.stop();
        disseminator.stop();
        loans.stop();
        transport.stop();
        executor.shutdown();
        if (!executor.awaitTermination(5, TimeUnit.SECONDS)) {
            LOG.warn("the control thread did not terminate within 5 s");
        }
    }

    /** Returns the resource usage of the control plane. Thread-safe. */
    public ControlLoad load() {
        Thread control = thread;
        long cpuNanos = cpuNanos(transport.threadId()) + (control == null ? 0 : cpuNanos(control.getId()));
        return new ControlLoad(cpuNanos, heapBytes, transport.traffic());
    }

    private static long cpuNanos(long threadId) {
        return threadId == 0
                ? 0
                : Math.max(0, ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId));
    }

    /** Sets the dispatch service that handles forwarded requests and enforces quota shares. */
    public void attach(LocalDispatch dispatch) {
        forwards.attach(dispatch);
        executor.execute(() -> loans.attach(dispatch));
    }

    @Override
    public ConfigState config() {
        return config.state();
    }

    @Override
    public Flowable<ConfigState> configs() {
        return config.states();
    }

    @Override
    public String configSource() {
        return config.source();
    }

    @Override
    public Readiness readiness() {
        return confirmation.isStalled() ? STALLED : readiness;
    }

    @Override
    public Single<TicketOutcome> appendTicket(Ticket ticket) {
        return appender.append(ticket);
    }

    @Override
    public Maybe<Ticket> ticket(long number) {
        return Maybe.defer(
                        () -> Maybe.fromOptional(config.tracker().ticket(number).map(AcceptedTicket::ticket)))
                .subscribeOn(controlThread);
    }

    @Override
    public Single<List<Ticket>> latestTickets(int limit) {
        return Single.fromCallable(() -> config.tracker().latestTickets(limit).stream()
                        .map(AcceptedTicket::ticket)
                        .toList())
                .subscribeOn(controlThread);
    }

    @Override
    public List<MemberView> members() {
        return members;
    }

    @Override
    public Flowable<Set<ServerId>> leavingServers() {
        return leaving.leaving();
    }

    @Override
    public void reportLeaving(ServerId server, String incarnation) {
        String known = incarnation == null ? "" : incarnation;
        executor.execute(() -> {
            swim.servers().onAnswer(server, known, true, config.state().number());
            leaving.publish();
        });
    }

    @Override
    public Single<ForwardReply> forward(ForwardRequest request, long timeoutMillis) {
        return forwards.forward(request, timeoutMillis);
    }

    @Override
    public Single<Optional<HostId>> leave(JobArchive archive) {
        return archives.leave(archive);
    }

    private void onLogTicket(AcceptedTicket accepted) {
        swim.servers().onTicket(accepted.ticket());
        disseminator.push(accepted);
    }

    private void onGossip(Gossip gossip) {
        disseminator.onGossip(gossip);
        leaving.publish();
    }

    private void onConfig(ConfigState latest) {
        swim.setConfigNumber(latest.number());
        swim.table().setRoster(latest.hosts().values(), settings.peerAddress());
        swim.servers().onSnapshot(inForce, latest);
        inForce = latest;
        loans.configure(latest);
    }

    private void tick() {
        if (confirmation.tick()) {
            LOG.warn("this process was paused; rejecting new jobs until the configuration is confirmed");
            runNow(pollIfDue());
            runNow(pullIfDue());
        }
        prober.tick();
        readiness = currentReadiness();
        leaving.publish();
    }

    private Readiness currentReadiness() {
        if (swim.table().isReplaced()) {
            return Readiness.notReady("the roster names another address for this host");
        }
        return confirmation.readiness();
    }

    private void everySecond() {
        members = MemberViews.of(
                settings, swim.table().self(), config.state(), swim.table().members());
        int tickets = config.tracker().latestTickets(RETAINED_TICKETS).size();
        heapBytes = ControlHeap.estimate(config.state(), members.size(), tickets);
        archives.tick();
        loans.tick();
    }

    private Completable pollIfDue() {
        boolean due = !confirmation.isConfirmed() || config.tracker().hasGap() || roles.isReader();
        return due ? reader.readToEnd().doOnComplete(this::onLogRead) : Completable.complete();
    }

    private void onLogRead() {
        if (!config.tracker().hasGap()) {
            confirmation.onConfirmed();
        }
    }

    private Completable pullIfDue() {
        boolean due = !confirmation.isConfirmed()
                || config.tracker().hasGap()
                || config.state().number() == 0;
        return due ? pullFromRandomPeers(PULL_FANOUT) : Completable.complete();
    }

    private Completable exchange() {
        return pullFromRandomPeers(1);
    }

    /** Pulls from random live members, filling up with seeds if too few members are alive. */
    private Completable pullFromRandomPeers(int targets) {
        List<String> addresses = new ArrayList<>();
        peers.randomLive(targets).stream().map(Member::config).forEach(member -> addresses.add(member.peerAddress()));
        for (int i = addresses.size(); i < targets && !settings.seeds().isEmpty(); i++) {
            addresses.add(settings.seeds().get(random.nextInt(settings.seeds().size())));
        }
        return Flowable.fromIterable(addresses)
                .filter(address -> !address.equals(settings.peerAddress()))
                .flatMapCompletable(address -> disseminator
                        .pull(address)
                        .doOnError(ControlService::logFailure)
                        .onErrorComplete());
    }

    private Completable readHostListIfDue() {
        return roles.isReader() ? hostList.readIfWithinRate().doOnComplete(leaving::publish) : Completable.complete();
    }

    private void every(long periodMillis, Runnable task) {
        everyTask(periodMillis, () -> Completable.fromRunnable(task));
    }

    /**
     * Runs a task on the control thread at a fixed rate. A run that falls due while the previous one is in progress is
     * skipped.
     */
    private void everyTask(long periodMillis, Supplier<Completable> task) {
        tasks.add(Flowable.interval(0, periodMillis, TimeUnit.MILLISECONDS, controlThread)
                .onBackpressureDrop()
                .concatMapCompletable(tick -> guarded(task), 1)
                .subscribe(
                        () -> {}, e -> LOG.error("a periodic task of the control thread terminated with an error", e)));
    }

    private void runNow(Completable task) {
        tasks.add(task.subscribe(() -> {}, ControlService::logFailure));
    }

    private static Completable guarded(Supplier<Completable> task) {
        return Completable.defer(task::get)
                .doOnError(ControlService::logFailure)
                .onErrorComplete();
    }

    private static void logFailure(Throwable e) {
        boolean expected = !(e instanceof RuntimeException);
        LOG.log(expected ? Logger.Level.DEBUG : Logger.Level.ERROR, "a task of the control thread failed", e);
    }
}
