package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.FencingTokens;
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
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a dispatcher that starts tasks or attracts jobs while its zone is evacuated. */
class EvacuatedDispatcherTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private static final HostId SELF = new HostId("self");
    private static final PoolLoad LOAD = new PoolLoad(64_000, 64_000, 0, 0, 0, 0);

    private long nowMillis = 5_000;
    private final ServerRegistry registry = new ServerRegistry(this::nanos);
    private final RecordingPool pool = new RecordingPool();
    private final ZoneDispatcher dispatcher = new ZoneDispatcher(
            SELF,
            ZONE,
            1_000,
            pool,
            new JobContacts(SELF, this::nanos, () -> 0, 200),
            new FencingTokens(() -> 1_800_000_000_000L),
            registry,
            new ZoneEvacuation(1_000, 4_000, this::nanos),
            this::nanos,
            () -> 1_800_000_000_000L + nowMillis);
    private final EvacuationWatch watch = new EvacuationWatch(ZONE, this::nanos, dispatcher::onEvacuationRead);

    /** Records the permission in force and the servers; refuses all jobs unless all may start. */
    private static final class RecordingPool implements ServerPool {
        private final List<StartPermission> permissionsAtAssignment = new ArrayList<>();
        private StartPermission permission = StartPermission.ALL_JOBS;
        private Collection<ServerDescriptor> servers = List.of();
        private String reason = "";

        @Override
        public void assign(Collection<ServerDescriptor> assigned) {
            servers = List.copyOf(assigned);
            permissionsAtAssignment.add(permission);
        }

        @Override
        public void submit(PooledJob job, Consumer<JobOutcome> onEnded) {
            onEnded.accept(
                    permission == StartPermission.ALL_JOBS
                            ? JobOutcome.completed()
                            : JobOutcome.refused(reason, 1_000));
        }

        @Override
        public void permitStarts(StartPermission newPermission, String newReason) {
            permission = newPermission;
            reason = newReason;
        }

        @Override
        public void cancel(CallerJobId id, String cancelReason) {}

        @Override
        public void release(String releaseReason) {}

        @Override
        public void tick() {}

        @Override
        public PoolLoad load() {
            return LOAD;
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

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private static StoreClient.Entry request(long offset) {
        return new StoreClient.Entry("evacuate/a", "{}".getBytes(StandardCharsets.UTF_8), offset);
    }

    private static StoreClient.Entry withdrawal(long offset) {
        return new StoreClient.Entry("evacuate/a", new byte[0], offset);
    }

    private void readAll(StoreClient.Entry... entries) {
        watch.onAll(List.of(entries));
        watch.onUpToDate();
    }

    private void readChanges(StoreClient.Entry... entries) {
        watch.onChanges(List.of(entries));
        watch.onUpToDate();
    }

    private void claim() {
        registry.onAll(List.of(server(4_000)));
        dispatcher.setRegistration(1);
        dispatcher.reconcile(List.of());
        assertThat(dispatcher.dispatching()).isTrue();
    }

    private static StoreClient.Entry server(long coldRemainingMillis) {
        String value = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\","
                + "\"cold_remaining_ms\":" + coldRemainingMillis + ",\"capacity\":{\"cpu\":64000,\"mem_mb\":1}}";
        return new StoreClient.Entry("i-1", value.getBytes(StandardCharsets.UTF_8));
    }

    private void tickAfter(long millis) {
        nowMillis += millis;
        dispatcher.tick(host -> true);
        dispatcher.reconcile(List.of());
    }

    private JobOutcome.Kind submit() {
        JobOutcome.Kind[] kind = new JobOutcome.Kind[1];
        PooledJob job = new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueuePolicy("q", "s", 0, 3, 1.6, 60),
                "",
                1,
                new TaskRequirements(1, 1, 0, 60, "", "", 0),
                0,
                1_500);
        dispatcher.submit(SELF, job, nowMillis, outcome -> kind[0] = outcome.kind());
        return kind[0];
    }

    private int usableMillicores() {
        return pool.servers.iterator().next().cpuMillicores();
    }

    @Test
    void startsNothingBeforeTheTopicHasBeenRead() {
        assertThat(pool.permission).isEqualTo(StartPermission.NONE);
        readAll();
        assertThat(pool.permission).isEqualTo(StartPermission.ALL_JOBS);
    }

    @Test
    void servesWithAllCapacityWithoutARecord() {
        readAll();
        claim();
        assertThat(dispatcher.state().load()).isEqualTo(LOAD);
        assertThat(submit()).isEqualTo(JobOutcome.Kind.COMPLETED);
        assertThat(usableMillicores()).isEqualTo(64_000);
    }

    @Test
    void finishesStartedJobsBeforeItStopsStarts() {
        readAll();
        claim();
        readChanges(request(7));
        assertThat(pool.permission).isEqualTo(StartPermission.STARTED_JOBS);
        assertThat(dispatcher.state().dispatching()).isTrue();
        assertThat(dispatcher.state().load().capacityMillicores()).isZero();
        assertThat(submit()).isEqualTo(JobOutcome.Kind.REFUSED);
        assertThat(dispatcher.refusedByEvacuation()).isEqualTo(1);
        tickAfter(980);
        assertThat(pool.permission).isEqualTo(StartPermission.STARTED_JOBS);
        tickAfter(20);
        assertThat(pool.permission).isEqualTo(StartPermission.NONE);
    }

    /** The dispatcher has been killed; its successor has read the record itself. */
    @Test
    void startsNothingAfterATakeover() {
        readAll();
        readChanges(request(7));
        claim();
        tickAfter(100);
        assertThat(pool.permissionsAtAssignment).isNotEmpty().containsOnly(StartPermission.NONE);
        assertThat(dispatcher.state().load().capacityMillicores()).isZero();
    }

    @Test
    void startsNothingAfterARestart() {
        readAll(request(7));
        claim();
        assertThat(pool.permissionsAtAssignment).isNotEmpty().containsOnly(StartPermission.NONE);
    }

    @Test
    void servesAgainAfterTheWithdrawal() {
        readAll(request(7));
        claim();
        readChanges(withdrawal(8));
        assertThat(submit()).isEqualTo(JobOutcome.Kind.COMPLETED);
        assertThat(dispatcher.state().load()).isEqualTo(LOAD);
    }

    @Test
    void servesAgainAfterAListWithoutTheRecord() {
        readAll(request(7));
        claim();
        readAll();
        assertThat(pool.permission).isEqualTo(StartPermission.ALL_JOBS);
    }

    @Test
    void ignoresAnOlderRecord() {
        readAll(withdrawal(9));
        claim();
        readChanges(request(8));
        assertThat(pool.permission).isEqualTo(StartPermission.ALL_JOBS);
    }

    @Test
    void ignoresRecordsOfOtherZonesAndInvalidKeys() {
        readAll();
        claim();
        byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
        readChanges(
                new StoreClient.Entry("evacuate/b", value, 3),
                new StoreClient.Entry("evacuate/not a zone!", value, 4),
                new StoreClient.Entry("evacuate/", value, 5));
        assertThat(pool.permission).isEqualTo(StartPermission.ALL_JOBS);
    }

    /** Hosts of other zones report their states up to 10 s after this one has started. */
    @Test
    void checksOnceWhetherAnEvacuatedZoneIsNamed() {
        List<ZoneId> checked = new ArrayList<>();
        byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
        readAll(new StoreClient.Entry("evacuate/b", value, 3));
        watch.checkNames(checked::add);
        assertThat(checked).isEmpty();
        nowMillis += 25_000;
        watch.checkNames(checked::add);
        watch.checkNames(checked::add);
        assertThat(checked).containsExactly(new ZoneId("b"));
    }

    @Nested
    class AfterTheWithdrawal {
        @Test
        void slowServersGetHalfOfTheirCapacityForTheRemainingTime() {
            readAll(request(7));
            claim();
            readChanges(withdrawal(8));
            tickAfter(1_000);
            assertThat(usableMillicores()).isEqualTo(32_000);
            tickAfter(3_000);
            assertThat(usableMillicores()).isEqualTo(64_000);
        }

        @Test
        void slowServersGetAllOfItOnceTheirEntrySaysSo() {
            readAll(request(7));
            claim();
            readChanges(withdrawal(8));
            registry.onChanges(List.of(server(0)));
            tickAfter(20);
            assertThat(usableMillicores()).isEqualTo(64_000);
        }
    }
}
