package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.FencingTokens;
import org.banyanspoke.core.ownership.HostFailureDetector;
import org.banyanspoke.core.ownership.JobRouter;
import org.banyanspoke.core.ownership.ZoneEvacuation;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.EntryJobService;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.StartPermission;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.peer.FrameFilter;
import org.banyanspoke.peer.PeerTransport;
import org.banyanspoke.peer.TransportLimits;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.PoolJobCancel;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a job that is given to a dispatcher although its caller has left while the host was suspended. */
class JobForwarderTest {
    private static final HostId SELF = new HostId("self");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final CallerJobId JOB = new CallerJobId("00000000000000aa");

    private long nowMillis = 100_000;
    private final MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMillis);
    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final InputProgress input = new InputProgress(clock, clock);
    private final RecordingPool pool = new RecordingPool();
    private final PeerTransport transport = newTransport(SELF);
    private final List<JobOutcome> outcomes = new ArrayList<>();
    private EvacuationWatch evacuations;
    private final HostDirectory directory = new HostDirectory(SELF);
    private final JobForwarder forwarder = newForwarder();

    /** Records the submitted jobs. */
    private static final class RecordingPool implements ServerPool {
        private final List<CallerJobId> submitted = new ArrayList<>();
        private final List<CallerJobId> cancelled = new ArrayList<>();
        private final List<Consumer<JobOutcome>> callbacks = new ArrayList<>();

        @Override
        public void assign(Collection<ServerDescriptor> servers) {}

        @Override
        public void submit(PooledJob job, Consumer<JobOutcome> onEnded) {
            submitted.add(job.id());
            callbacks.add(onEnded);
        }

        @Override
        public void cancel(CallerJobId id, String reason) {
            cancelled.add(id);
            callbacks.forEach(each -> each.accept(JobOutcome.refused(reason, 200)));
        }

        @Override
        public void permitStarts(StartPermission permission, String reason) {}

        @Override
        public void release(String reason) {}

        @Override
        public void tick() {}

        @Override
        public PoolLoad load() {
            return new PoolLoad(16_000, 16_000, 0, 0, 0, 0);
        }

        @Override
        public boolean isIdle() {
            return true;
        }

        @Override
        public boolean isIdle(ServerId server) {
            return true;
        }
    }

    private static PeerTransport newTransport(HostId host) {
        return new PeerTransport(
                host,
                new Incarnation(1),
                new TransportLimits(1_000_000, 1_000_000, 500, 300, 60_000),
                FrameFilter.NONE);
    }

    private JobForwarder newForwarder() {
        FencingTokens tokens = new FencingTokens(() -> 1_800_000_000_000L);
        JobContacts contacts = new JobContacts(SELF, clock, input::behindMillis, 200);
        ServerRegistry registry = new ServerRegistry(clock);
        registry.onAll(List.of(new StoreClient.Entry(
                "i-1",
                ("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\","
                                + "\"capacity\":{\"cpu\":16000,\"mem_mb\":1000}}")
                        .getBytes(StandardCharsets.UTF_8))));
        ZoneEvacuation evacuation = new ZoneEvacuation(1_000, 4_000, clock);
        ZoneDispatcher dispatcher = new ZoneDispatcher(
                SELF,
                ZONE,
                1_000,
                pool,
                contacts,
                tokens,
                registry,
                evacuation,
                clock,
                () -> 1_800_000_000_000L + nowMillis);
        evacuations = new EvacuationWatch(ZONE, clock, dispatcher::onEvacuationRead);
        evacuations.onAll(List.of());
        dispatcher.setRegistration(1);
        dispatcher.reconcile(List.of());
        HostStateExchange exchange = new HostStateExchange(
                transport,
                context,
                directory,
                new HostFailureDetector(clock, dispatcher::waitingHosts),
                dispatcher::state,
                clock,
                new ErrorGuard(clock));
        return new JobForwarder(
                SELF,
                transport,
                context,
                directory,
                exchange,
                dispatcher,
                new ConfigWatch(),
                evacuations,
                new JobRouter(ZONE, new SplittableRandom(1)),
                new EntryObserver(new RequestLog(clock), new HostMetrics()),
                clock,
                contacts,
                input);
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void pass(long millis) throws Exception {
        InputProgress.Moment start = new InputProgress.Moment(clock.nanos(), nowMillis);
        nowMillis += millis;
        input.recordPass(start);
        // The actions of the pass run on the context.
        CompletableFuture<Void> ran = new CompletableFuture<>();
        context.runOnContext(unused -> ran.complete(null));
        ran.get(10, TimeUnit.SECONDS);
    }

    private static PooledJob job() {
        return new PooledJob(
                JOB,
                new QueuePolicy("q", "s", 0, 3, 1.6, 60),
                "",
                1,
                new TaskRequirements(1_000, 1, 0, 900, "", "", 0),
                0,
                5_000);
    }

    private EntryJobService.Attempt submit() {
        return forwarder.submit(job(), outcomes::add);
    }

    @Test
    void anEarlierAttemptThatIsAbandonedLeavesTheJobToTheNextOne() throws Exception {
        pass(20);
        pass(20);
        EntryJobService.Attempt first = submit();
        EntryJobService.Attempt second = submit();
        first.abandon("the caller closed the connection");
        assertThat(pool.cancelled).isEmpty();
        second.abandon("the caller closed the connection");
        assertThat(pool.cancelled).containsExactly(JOB);
    }

    @Test
    void givesAJobToTheDispatcherAtOnce() throws Exception {
        pass(20);
        pass(20);
        submit();
        assertThat(pool.submitted).containsExactly(JOB);
    }

    /** Review case 2: such requests were sent to the dispatcher of another zone beside the callers' next attempts. */
    @Nested
    class AfterASuspension {
        @BeforeEach
        void suspendWhileWaitingForInput() throws Exception {
            pass(20);
            pass(20);
            pass(3_300);
        }

        @Test
        void aRequestWaitsUntilItsConnectionHasBeenReadAgain() throws Exception {
            submit();
            pass(1);
            assertThat(pool.submitted).isEmpty();
            pass(1);
            assertThat(pool.submitted).containsExactly(JOB);
        }

        @Test
        void aRequestWhoseCallerHasLeftIsNotDispatched() throws Exception {
            EntryJobService.Attempt attempt = submit();
            pass(1);
            attempt.abandon("the caller closed the connection");
            pass(1);
            pass(1);
            assertThat(pool.submitted).isEmpty();
            assertThat(outcomes).hasSize(1).allMatch(outcome -> outcome.kind() == JobOutcome.Kind.REFUSED);
            assertThat(forwarder.openJobs()).isZero();
        }

        /** The close of the first attempt's connection cancelled the second attempt, and the first one was dispatched. */
        @Test
        void theNextAttemptOfTheSameCallerIsServed() throws Exception {
            EntryJobService.Attempt first = submit();
            submit();
            pass(1);
            first.abandon("the caller closed the connection");
            pass(1);
            pass(1);
            assertThat(pool.submitted).containsExactly(JOB);
            assertThat(outcomes).hasSize(1);
            assertThat(forwarder.openJobs()).isEqualTo(1);
        }

        @Test
        void aRequestOnAConnectionThatIsAcceptedLaterWaitsToo() throws Exception {
            pass(1);
            pass(1);
            submit();
            assertThat(pool.submitted).isEmpty();
            pass(1);
            pass(1);
            assertThat(pool.submitted).containsExactly(JOB);
        }

        @Test
        void aRequestWaitsThroughAnotherSuspension() throws Exception {
            submit();
            pass(1);
            pass(2_000);
            assertThat(pool.submitted).isEmpty();
            pass(1);
            assertThat(pool.submitted).isEmpty();
            pass(1);
            assertThat(pool.submitted).containsExactly(JOB);
        }
    }

    /** The link to the other zones is cut: such jobs waited 0.9 s for another dispatcher. */
    @Nested
    class InAnEvacuatedZoneWithoutOtherDispatchers {
        private StoreClient.Entry request(long offset) {
            return new StoreClient.Entry("evacuate/a", "{}".getBytes(StandardCharsets.UTF_8), offset);
        }

        @BeforeEach
        void requestEvacuation() throws Exception {
            pass(20);
            pass(20);
            evacuations.onChanges(List.of(request(7)));
        }

        @Test
        void aJobIsRefusedAtOnce() {
            submit();
            assertThat(pool.submitted).isEmpty();
            assertThat(outcomes).hasSize(1).allMatch(outcome -> outcome.kind() == JobOutcome.Kind.REFUSED);
            assertThat(outcomes.get(0).retryAfterMillis()).isPositive();
            assertThat(forwarder.waitingJobs()).isZero();
        }

        @Test
        void aJobIsServedAfterTheWithdrawal() {
            evacuations.onChanges(List.of(new StoreClient.Entry("evacuate/a", new byte[0], 8)));
            submit();
            assertThat(pool.submitted).containsExactly(JOB);
        }
    }

    /** Review case 4: the hosts that had the job were not asked, and it was started later. */
    @Nested
    class ACancellation {
        private final PeerTransport other = newTransport(new HostId("other"));
        private final CompletableFuture<Boolean> known = new CompletableFuture<>();

        @BeforeEach
        void startTransports() throws Exception {
            transport.start("127.0.0.1:0");
            other.start("127.0.0.1:0");
            pass(20);
            pass(20);
        }

        @AfterEach
        void stopTransports() throws Exception {
            transport.stop();
            other.stop();
        }

        private void cancelHere() {
            context.runOnContext(
                    unused -> forwarder.cancel(JOB, "cancelled by the caller", each -> known.complete(each)));
        }

        private Frame cancelAtOther() {
            PoolJobCancel cancel = PoolJobCancel.newBuilder()
                    .setJob(JOB.value())
                    .setReason("cancelled by the caller")
                    .setRequested(true)
                    .build();
            return other.request(transport.self().address(), Frame.newBuilder().setPoolJobCancel(cancel), 5_000)
                    .blockingGet()
                    .frame();
        }

        @Test
        void ofAnUnknownJobAsksTheOtherHosts() throws Exception {
            other.handle(
                    Frame.BodyCase.POOL_JOB_CANCEL,
                    (from, request) -> Single.just(Frame.newBuilder()
                            .setPoolJobCancel(
                                    request.getPoolJobCancel().toBuilder().setKnown(true))));
            directory.recordAddress(new HostId("other"), other.self().address());
            cancelHere();
            assertThat(known.get(10, TimeUnit.SECONDS)).isTrue();
        }

        /** A host that does not reply must not keep the caller waiting. */
        @Test
        void skipsAHostThatDoesNotReply() throws Exception {
            other.handle(Frame.BodyCase.POOL_JOB_CANCEL, (from, request) -> Single.never());
            directory.recordAddress(new HostId("other"), other.self().address());
            cancelHere();
            assertThat(known.get(10, TimeUnit.SECONDS)).isFalse();
        }

        @Test
        void ofAJobThatNoHostKnowsEndsWithoutOtherHosts() throws Exception {
            cancelHere();
            assertThat(known.get(10, TimeUnit.SECONDS)).isFalse();
        }

        @Test
        void atAnotherHostEndsTheJobOfACallerHere() throws Exception {
            submit();
            assertThat(cancelAtOther().getPoolJobCancel().getKnown()).isTrue();
            assertThat(pool.cancelled).containsExactly(JOB);
            assertThat(outcomes).hasSize(1).allMatch(outcome -> outcome.kind() == JobOutcome.Kind.REFUSED);
            assertThat(forwarder.openJobs()).isZero();
        }

        @Test
        void atAnotherHostPreventsALaterStartHere() throws Exception {
            assertThat(cancelAtOther().getPoolJobCancel().getKnown()).isFalse();
            submit();
            assertThat(pool.submitted).isEmpty();
            assertThat(outcomes).hasSize(1).allMatch(JobOutcome::cancelled);
        }
    }

    /** The check of such a host's jobs was never sent, so none of them was started. */
    @Test
    void asksAnEntryHostThatTheDirectoryDoesNotName() throws Exception {
        PeerTransport entryHost = newTransport(new HostId("entry"));
        try {
            CompletableFuture<Frame> check = new CompletableFuture<>();
            entryHost.handle(Frame.BodyCase.POOL_JOB_CHECK, (from, request) -> {
                check.complete(request);
                return Single.just(Frame.newBuilder().setPoolJobCheck(request.getPoolJobCheck()));
            });
            transport.start("127.0.0.1:0");
            entryHost.start("127.0.0.1:0");
            var unused = entryHost
                    .request(
                            transport.self().address(),
                            Frame.newBuilder().setPoolJob(PoolMessages.encode(job(), 0)),
                            5_000)
                    .subscribe(reply -> {}, error -> {});
            assertThat(PoolMessages.decodeCheck(check.get(10, TimeUnit.SECONDS)))
                    .containsExactly(JOB);
        } finally {
            transport.stop();
            entryHost.stop();
        }
    }
}
