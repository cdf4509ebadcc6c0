package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
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
import org.banyanspoke.daemon.control.internal.ByteBudget;
import org.banyanspoke.daemon.control.internal.ConfigHolder;
import org.banyanspoke.daemon.control.internal.ConfigSpread;
import org.banyanspoke.daemon.control.internal.Confirmation;
import org.banyanspoke.daemon.control.internal.HostListWatch;
import org.banyanspoke.daemon.control.internal.JobForwards;
import org.banyanspoke.daemon.control.internal.LeavingNews;
import org.banyanspoke.daemon.control.internal.LoanExchange;
import org.banyanspoke.daemon.control.internal.LogDuty;
import org.banyanspoke.daemon.control.internal.LogReader;
import org.banyanspoke.daemon.control.internal.MemberViews;
import org.banyanspoke.daemon.control.internal.PeerLink;
import org.banyanspoke.daemon.control.internal.Prober;
import org.banyanspoke.daemon.control.internal.ReturnWatch;
import org.banyanspoke.daemon.control.internal.TicketAppender;
import org.banyanspoke.daemon.platform.HostListClient;
import org.banyanspoke.daemon.platform.LogClient;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.kernel.Service;
import org.banyanspoke.kernel.ServiceName;
import org.banyanspoke.peer.PeerTransport;
import org.jboss.logging.Logger;

/** Owns the control thread and all control state. */
public final class ControlService implements Service, ControlPlane, JobForwarder, Handover {
    /** Name under which the kernel knows this service. */
    public static final ServiceName<ControlService> NAME = new ServiceName<>("control", ControlService.class);

    private static final Logger LOG = Logger.getLogger(ControlService.class);

    /** Two days of tickets at the design's 410 a day. */
    private static final int REMEMBERED_TICKETS = 1_000;

    /** Short against the design's 300 ms for a direct probe and 1 s for a pause. */
    private static final long TICK_MILLIS = 100;

    /** Poll interval of the design; 12 readers make 24 reads/s. */
    private static final long POLL_MILLIS = 500;

    /** The list itself lags, so the poll must be short against the seconds in which a leaving server is to be spared. */
    private static final long HOST_LIST_MILLIS = 500;

    /** A restart takes seconds; two hosts ask each leaving server, which is two small requests in this time. */
    private static final long RETURN_CHECK_MILLIS = 2_000;

    /** Leaves 2.1 KB/s of the design's 3 KB/s to probes and the log. An unchanged list costs 0.6 KB/s. */
    private static final long HOST_LIST_BYTES_PER_SECOND = 900;

    /** Three whole lists at the design size, so that changes soon after one another are read without delay. */
    private static final long HOST_LIST_BURST_BYTES = 128 * 1024;

    private static final long SECOND_MILLIS = 1_000;
    private static final long SNAPSHOT_CHECK_MILLIS = 10_000;

    /** Finds statements that gossip has missed; a full exchange at 180 members is about 6 KB. */
    private static final long EXCHANGE_MILLIS = 30_000;

    /** Peers asked at once when the configuration is missing or not confirmed. */
    private static final int PULL_TARGETS = 2;

    private static final Readiness STALLED = Readiness.notReady("this process was paused");

    private final ControlSettings settings;
    private final PeerTransport transport;
    private final ScheduledExecutorService executor;
    private final Scheduler controlThread;
    private final UniformRandomProvider random;
    private final ConfigHolder config;
    private final Confirmation confirmation;
    private final Swim swim;
    private final LogReader reader;
    private final TicketAppender appender;
    private final LogDuty duty;
    private final HostListWatch hostList;
    private final LeavingNews leaving;
    private final ReturnWatch returns;
    private final PeerLink peers;
    private final Prober prober;
    private final ConfigSpread spread;
    private final ArchiveStore archives;
    private final JobForwards forwards;
    private final LoanExchange loans;
    private final CompositeDisposable tasks = new CompositeDisposable();
    private volatile Readiness readiness = Readiness.notReady("the configuration has not been read yet");
    private volatile List<MemberView> members = List.of();
    private ConfigState inForce = ConfigState.EMPTY;

    /**
     * @param settings this host
     * @param log the platform's log
     * @param hostListClient the platform's list of hosts
     * @param serverCheck asks leaving backend servers
     * @param transport carries messages between entry hosts; started and stopped by this service
     * @param clock for limits and intervals
     * @param random chooses members; used on the control thread only
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
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
        this.controlThread = Schedulers.from(executor);
        this.config = new ConfigHolder(new ConfigTracker(REMEMBERED_TICKETS));
        this.confirmation = new Confirmation(clock, config);
        this.swim = new Swim(settings.host(), settings.incarnation(), clock, random);
        this.reader = new LogReader(log, config, controlThread, this::onLogTicket);
        this.appender = new TicketAppender(log, reader, config, controlThread, clock);
        this.duty = new LogDuty(settings.host(), settings.zone(), swim, config, reader, log, clock);
        ByteBudget budget = new ByteBudget(HOST_LIST_BYTES_PER_SECOND, HOST_LIST_BURST_BYTES, clock);
        this.hostList = new HostListWatch(hostListClient, budget, swim.servers(), config, controlThread);
        this.returns = new ReturnWatch(serverCheck, swim.servers(), config, duty, controlThread);
        this.peers = new PeerLink(transport, swim, controlThread, random);
        this.spread = new ConfigSpread(config, confirmation, swim, peers);
        this.prober = new Prober(swim, peers, this::onGossip);
        this.leaving = new LeavingNews(swim.servers(), prober::spreadNow, clock);
        this.archives = new ArchiveStore(
                swim, settings.zone(), peers, controlThread, ArchiveStore.newArchivedJobs(clock), prober::spreadNow);
        this.forwards = new JobForwards(settings.incarnation(), swim, peers, archives, controlThread);
        this.loans = new LoanExchange(
                QuotaLendings.halfOfUnused(settings.host(), clock, random), swim, peers, controlThread);
    }

    @Override
    public void start(Kernel kernel) throws Exception {
        prober.start();
        spread.start();
        archives.start();
        forwards.start();
        loans.start();
        transport.start(settings.listenAddress());
        tasks.add(config.states().subscribe(this::onConfig, e -> LOG.error("the configuration stream has ended", e)));
        every(TICK_MILLIS, this::tick);
        every(SECOND_MILLIS, this::eachSecond);
        everyTask(POLL_MILLIS, this::pollIfDue);
        everyTask(SECOND_MILLIS, this::pullIfDue);
        everyTask(EXCHANGE_MILLIS, this::exchange);
        everyTask(HOST_LIST_MILLIS, this::readHostListIfDue);
        everyTask(RETURN_CHECK_MILLIS, () -> returns.checkAll().doOnComplete(leaving::publish));
        everyTask(SNAPSHOT_CHECK_MILLIS, duty::writeSnapshotIfDue);
    }

    @Override
    public void stop() throws InterruptedException {
        tasks.dispose();
        prober.stop();
        spread.stop();
        loans.stop();
        transport.stop();
        executor.shutdown();
        if (!executor.awaitTermination(5, TimeUnit.SECONDS)) {
            LOG.warn("the control thread has not ended");
        }
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
        spread.push(accepted);
    }

    private void onGossip(Gossip gossip) {
        spread.onGossip(gossip);
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
            LOG.warn("this process was paused; new work is refused until the configuration is confirmed");
            runNow(pollIfDue());
            runNow(pullIfDue());
        }
        prober.tick();
        readiness = presentReadiness();
        leaving.publish();
    }

    private Readiness presentReadiness() {
        if (swim.table().isReplaced()) {
            return Readiness.notReady("the roster names another address for this host");
        }
        return confirmation.readiness();
    }

    private void eachSecond() {
        members = MemberViews.of(
                settings, swim.table().self(), config.state(), swim.table().members());
        archives.tick();
        loans.tick();
    }

    private Completable pollIfDue() {
        boolean due = !confirmation.isConfirmed() || config.tracker().hasGap() || duty.isReader();
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
        return due ? pullFromSome(PULL_TARGETS) : Completable.complete();
    }

    private Completable exchange() {
        return pullFromSome(1);
    }

    /** Asks live members, or seeds while no member is known to be alive. */
    private Completable pullFromSome(int targets) {
        List<String> addresses = new ArrayList<>();
        peers.randomLive(targets).stream().map(Member::config).forEach(member -> addresses.add(member.peerAddress()));
        for (int i = addresses.size(); i < targets && !settings.seeds().isEmpty(); i++) {
            addresses.add(settings.seeds().get(random.nextInt(settings.seeds().size())));
        }
        return Flowable.fromIterable(addresses)
                .filter(address -> !address.equals(settings.peerAddress()))
                .flatMapCompletable(address -> spread.pull(address)
                        .doOnError(ControlService::logFailure)
                        .onErrorComplete());
    }

    private Completable readHostListIfDue() {
        return duty.isReader() ? hostList.readIfAffordable().doOnComplete(leaving::publish) : Completable.complete();
    }

    private void every(long periodMillis, Runnable task) {
        everyTask(periodMillis, () -> Completable.fromRunnable(task));
    }

    /** Runs a task on the control thread at a fixed rate. A task that still runs at the next time is not started again. */
    private void everyTask(long periodMillis, Supplier<Completable> task) {
        tasks.add(Flowable.interval(0, periodMillis, TimeUnit.MILLISECONDS, controlThread)
                .onBackpressureDrop()
                .concatMapCompletable(tick -> guarded(task), 1)
                .subscribe(() -> {}, e -> LOG.error("a task of the control thread has ended", e)));
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
