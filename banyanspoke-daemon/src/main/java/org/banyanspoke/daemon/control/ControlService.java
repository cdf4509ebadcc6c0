package org.banyanspoke.daemon.control;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.config.ConfigTracker;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.control.internal.ConfigHolder;
import org.banyanspoke.daemon.control.internal.LogReader;
import org.banyanspoke.daemon.control.internal.TicketAppender;
import org.banyanspoke.daemon.platform.LogClient;
import org.banyanspoke.daemon.platform.PlatformException;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.kernel.Service;
import org.banyanspoke.kernel.ServiceName;
import org.jboss.logging.Logger;

/** Owns the control thread and all control state. */
public final class ControlService implements Service, ControlPlane {
    /** Name under which the kernel knows this service. */
    public static final ServiceName<ControlService> NAME = new ServiceName<>("control", ControlService.class);

    private static final Logger LOG = Logger.getLogger(ControlService.class);

    /** Two days of tickets at the design's 410 a day. */
    private static final int REMEMBERED_TICKETS = 1_000;

    /** Poll interval of the design; 12 readers make 24 reads/s. */
    private static final long POLL_MILLIS = 500;

    private final ScheduledExecutorService executor;
    private final Scheduler controlThread;
    private final ConfigHolder config;
    private final LogReader reader;
    private final TicketAppender appender;
    private final CompositeDisposable tasks = new CompositeDisposable();
    private final BehaviorProcessor<Set<ServerId>> leaving = BehaviorProcessor.createDefault(Set.of());
    private volatile Readiness readiness = Readiness.notReady("the configuration has not been read yet");

    /**
     * @param log the platform's log
     * @param clock for limits and intervals
     */
    public ControlService(LogClient log, MonotonicClock clock) {
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
        this.controlThread = Schedulers.from(executor);
        this.config = new ConfigHolder(new ConfigTracker(REMEMBERED_TICKETS));
        this.reader = new LogReader(log, config, controlThread, ticket -> {});
        this.appender = new TicketAppender(log, reader, config, controlThread, clock);
    }

    @Override
    public void start(Kernel kernel) {
        tasks.add(Flowable.interval(0, POLL_MILLIS, TimeUnit.MILLISECONDS, controlThread)
                .onBackpressureDrop()
                .concatMapCompletable(tick -> poll(), 1)
                .subscribe(() -> {}, e -> LOG.error("the poll of the log has stopped", e)));
    }

    @Override
    public void stop() throws InterruptedException {
        tasks.dispose();
        executor.shutdown();
        executor.awaitTermination(5, TimeUnit.SECONDS);
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
        return readiness;
    }

    @Override
    public Single<TicketOutcome> appendTicket(Ticket ticket) {
        return appender.append(ticket);
    }

    @Override
    public Maybe<Ticket> ticket(long number) {
        return Maybe.defer(
                        () -> Maybe.fromOptional(config.tracker().ticket(number).map(t -> t.ticket())))
                .subscribeOn(controlThread);
    }

    @Override
    public Single<List<Ticket>> latestTickets(int limit) {
        return Single.fromCallable(() -> config.tracker().latestTickets(limit).stream()
                        .map(t -> t.ticket())
                        .toList())
                .subscribeOn(controlThread);
    }

    @Override
    public List<MemberView> members() {
        return List.of();
    }

    @Override
    public Flowable<Set<ServerId>> leavingServers() {
        return leaving.onBackpressureLatest();
    }

    @Override
    public void reportLeaving(ServerId server, String incarnation) {
        LOG.infof("server \"%s\" (incarnation %s) says that it is leaving", server, incarnation);
    }

    private Completable poll() {
        return reader.readToEnd().doOnComplete(this::onLogRead).onErrorComplete(this::isPlatformFailure);
    }

    private void onLogRead() {
        if (config.tracker().hasGap()) {
            readiness = Readiness.notReady("the log keeps no snapshot and not all records");
            return;
        }
        boolean configured = config.state().number() > 0;
        readiness = configured ? Readiness.READY : Readiness.notReady("no ticket has been accepted yet");
    }

    private boolean isPlatformFailure(Throwable e) {
        LOG.debugf(e, "the log was not read");
        return e instanceof PlatformException;
    }
}
