package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.FencingTokens;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.ZoneEvacuation;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.StartPermission;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a handover that stops running tasks, and against a zone with a weak dispatcher or none. */
class ZoneDispatcherTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private static final ServerId FIRST = new ServerId("i-1");
    private static final ServerId SECOND = new ServerId("i-2");

    private final ServerRegistry registry = new ServerRegistry(() -> 1);
    private final RecordingPool pool = new RecordingPool();
    private long nowMillis = 5_000;
    /** Outcome of the job submitted last; null if it has not ended. */
    private JobOutcome last;

    private long wallClockMillis = 1_800_000_000_000L;
    private final JobContacts contacts =
            new JobContacts(new HostId("weak"), () -> TimeUnit.MILLISECONDS.toNanos(nowMillis), () -> 0, 200);
    private final ZoneEvacuation evacuation =
            new ZoneEvacuation(1_000, 4_000, () -> TimeUnit.MILLISECONDS.toNanos(nowMillis));
    private final ZoneDispatcher dispatcher = new ZoneDispatcher(
            new HostId("weak"),
            ZONE,
            270,
            pool,
            contacts,
            new FencingTokens(() -> 1_800_000_000_000L),
            registry,
            evacuation,
            () -> TimeUnit.MILLISECONDS.toNanos(nowMillis),
            () -> wallClockMillis);
    private final HostState strong =
            new HostState(new HostId("strong"), ZONE, 9, 1_500, false, 0, Set.of(), PoolLoad.NONE);

    /** Records assignments and releases. */
    private static final class RecordingPool implements ServerPool {
        private final Set<ServerId> owned = new HashSet<>();
        private final Set<ServerId> busy = new HashSet<>();
        private final List<CallerJobId> cancelled = new ArrayList<>();
        private boolean released;
        private boolean failing;
        /** Whether submitted jobs wait until they are cancelled. */
        private boolean full;

        private Consumer<JobOutcome> waiting;
        private JobOutcome cancelOutcome = JobOutcome.refused("cancelled", 200);

        @Override
        public void assign(Collection<ServerDescriptor> servers) {
            owned.clear();
            servers.forEach(server -> owned.add(server.id()));
        }

        @Override
        public void submit(PooledJob job, Consumer<JobOutcome> onEnded) {
            if (failing) {
                throw new IllegalStateException("simulated error");
            }
            if (full) {
                waiting = onEnded;
                return;
            }
            onEnded.accept(JobOutcome.completed());
        }

        @Override
        public void cancel(CallerJobId id, String reason) {
            cancelled.add(id);
            if (waiting != null) {
                waiting.accept(cancelOutcome);
            }
        }

        @Override
        public void permitStarts(StartPermission permission, String reason) {}

        @Override
        public void release(String reason) {
            released = true;
        }

        @Override
        public void tick() {}

        @Override
        public PoolLoad load() {
            return PoolLoad.NONE;
        }

        @Override
        public boolean isIdle() {
            return busy.isEmpty();
        }

        @Override
        public boolean isIdle(ServerId server) {
            return !busy.contains(server);
        }
    }

    @BeforeEach
    void ownTwoServers() {
        registry.onAll(List.of(entry(FIRST), entry(SECOND)));
        dispatcher.onEvacuationRead(false, -1, ZoneEvacuation.NEVER);
        dispatcher.setRegistration(1);
        dispatcher.reconcile(List.of());
        assertThat(pool.owned).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    private static StoreClient.Entry entry(ServerId id) {
        String value = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\","
                + "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}";
        return new StoreClient.Entry(id.value(), value.getBytes(StandardCharsets.UTF_8));
    }

    private JobOutcome.Kind submitLocally() {
        return submitFrom(new HostId("weak"));
    }

    private JobOutcome.Kind submitFrom(HostId from) {
        submitTo(from);
        return last == null ? null : last.kind();
    }

    private void submitTo(HostId from) {
        last = null;
        PooledJob job = new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueuePolicy("q", "s", 0, 3, 1.6, 60),
                "",
                1,
                new TaskRequirements(1, 1, 0, 60, "", "", 0),
                0,
                1_500);
        dispatcher.submit(from, job, nowMillis, outcome -> last = outcome);
    }

    @Nested
    class WithAMuchStrongerHost {
        @Test
        void keepsEachServerUntilItIsIdle() {
            pool.busy.add(FIRST);
            dispatcher.reconcile(List.of(strong));
            assertThat(dispatcher.state().leaving()).isTrue();
            assertThat(dispatcher.state().heldServers()).containsExactly(FIRST);
            assertThat(pool.released).isFalse();
            pool.busy.clear();
            dispatcher.reconcile(List.of(strong));
            assertThat(dispatcher.state().heldServers()).isEmpty();
            assertThat(dispatcher.state().dispatching()).isFalse();
            assertThat(pool.released).isTrue();
        }

        @Test
        void refusesNewJobs() {
            pool.busy.add(FIRST);
            assertThat(submitLocally()).isEqualTo(JobOutcome.Kind.COMPLETED);
            dispatcher.reconcile(List.of(strong));
            assertThat(submitLocally()).isEqualTo(JobOutcome.Kind.REFUSED);
        }

        @Test
        void resumesWhenThatHostIsLostDuringTheHandover() {
            pool.busy.add(FIRST);
            dispatcher.reconcile(List.of(strong));
            dispatcher.reconcile(List.of());
            assertThat(dispatcher.dispatching()).isTrue();
            assertThat(pool.owned).containsExactlyInAnyOrder(FIRST, SECOND);
        }
    }

    /** Review case 4: a job that was cancelled at another entry host was started later. */
    @Nested
    class ACancelledJob {
        private static final HostId ENTRY_HOST = new HostId("other");
        private static final CallerJobId JOB = new CallerJobId("00000000000000aa");

        @Test
        void isCancelledForTheCallersOfAllHosts() {
            pool.full = true;
            submitFrom(ENTRY_HOST);
            submitLocally();
            assertThat(dispatcher.cancelForAll(JOB, "cancelled by the caller")).isTrue();
            assertThat(pool.cancelled).containsExactly(JOB);
        }

        /** An entry host sends a job that was only refused to another dispatcher. */
        @Test
        void isNotOnlyRefused() {
            pool.full = true;
            submitFrom(ENTRY_HOST);
            dispatcher.cancelForAll(JOB, "cancelled by the caller");
            assertThat(last.kind()).isEqualTo(JobOutcome.Kind.REFUSED);
            assertThat(last.cancelled()).isTrue();
        }

        @Test
        void isRefusedIfItArrivesLater() {
            assertThat(dispatcher.cancelForAll(JOB, "cancelled by the caller")).isFalse();
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.REFUSED);
            assertThat(last.cancelled()).isTrue();
            assertThat(dispatcher.refusedAsCancelled()).isEqualTo(1);
            nowMillis += last.retryAfterMillis();
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.COMPLETED);
        }

        /** The answer must not say that no task has run. */
        @Test
        void isNotRefusedIfItArrivesAgainAfterItHasRun() {
            pool.full = true;
            pool.cancelOutcome = JobOutcome.abandoned("cancelled");
            submitFrom(ENTRY_HOST);
            dispatcher.cancelForAll(JOB, "cancelled by the caller");
            assertThat(last.kind()).isEqualTo(JobOutcome.Kind.ABANDONED);
            dispatcher.cancelForAll(JOB, "cancelled by the caller");
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.ABANDONED);
        }

        /** Callers send a job again after they have closed its connection. */
        @Test
        void isAcceptedAgainIfItsCallerHasOnlyLeft() {
            pool.full = true;
            submitFrom(ENTRY_HOST);
            dispatcher.cancel(ENTRY_HOST, JOB, "the caller closed the connection");
            assertThat(last.cancelled()).isFalse();
            pool.full = false;
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.COMPLETED);
        }
    }

    /** The caller of such a job got no answer, and tasks that had started ran on. */
    @Test
    void abandonsAJobWhoseSubmissionFailsUnexpectedly() {
        pool.failing = true;
        assertThat(submitLocally()).isEqualTo(JobOutcome.Kind.ABANDONED);
        assertThat(pool.cancelled).hasSize(1);
        assertThat(dispatcher.waitingHosts()).isEmpty();
    }

    @Test
    void drainingKeepsOnlyBusyServers() {
        pool.busy.add(SECOND);
        dispatcher.startDraining();
        dispatcher.reconcile(List.of(strong));
        assertThat(dispatcher.state().heldServers()).containsExactly(SECOND);
    }

    /** Soak seed 10: after a pause, a dispatcher started a job that its caller had meanwhile sent to another zone. */
    @Nested
    class AfterAPause {
        private static final HostId ENTRY_HOST = new HostId("other");

        @BeforeEach
        void pauseProcess() {
            dispatcher.tick(host -> true);
            nowMillis += 650;
        }

        @Test
        void refusesJobsBufferedInAConnection() {
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.REFUSED);
            dispatcher.tick(host -> true);
            nowMillis += 20;
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.REFUSED);
        }

        @Test
        void acceptsJobsAfterTheCatchUpTime() {
            for (int i = 0; i < 10; i++) {
                dispatcher.tick(host -> true);
                nowMillis += 20;
            }
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.COMPLETED);
        }

        @Test
        void acceptsJobsOfItsOwnCallers() {
            assertThat(submitLocally()).isEqualTo(JobOutcome.Kind.COMPLETED);
        }
    }

    /** The monotonic clock of a suspended machine stands still, so only the wall clock shows how long it was away. */
    @Nested
    class AfterASuspensionOfTheMachine {
        private static final HostId ENTRY_HOST = new HostId("other");

        @BeforeEach
        void suspendMachine() {
            tick(0);
            wallClockMillis += 2_000;
        }

        private void tick(long elapsedMillis) {
            nowMillis += elapsedMillis;
            wallClockMillis += elapsedMillis;
            dispatcher.tick(host -> true);
        }

        @Test
        void refusesJobsBufferedInAConnection() {
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.REFUSED);
            tick(20);
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.REFUSED);
        }

        @Test
        void acceptsJobsAfterTheCatchUpTime() {
            for (int i = 0; i < 10; i++) {
                tick(20);
            }
            assertThat(submitFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.COMPLETED);
        }
    }

    @Test
    void acceptsJobsWhenTheWallClockIsSetBack() {
        dispatcher.tick(host -> true);
        nowMillis += 200;
        wallClockMillis -= 5_000;
        dispatcher.tick(host -> true);
        assertThat(submitFrom(new HostId("other"))).isEqualTo(JobOutcome.Kind.COMPLETED);
    }
}
