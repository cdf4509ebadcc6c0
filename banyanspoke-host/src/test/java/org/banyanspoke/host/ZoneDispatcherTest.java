package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
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
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.ServerPool;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.platform.StoreClient;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a handover that ends running tasks, and against a zone that keeps a weak dispatcher or none. */
class ZoneDispatcherTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private static final ServerId FIRST = new ServerId("i-1");
    private static final ServerId SECOND = new ServerId("i-2");

    private final ServerRegistry registry = new ServerRegistry(() -> 1);
    private final Pool pool = new Pool();
    private long nowMillis = 5_000;
    private final ZoneDispatcher dispatcher = new ZoneDispatcher(
            new HostId("weak"),
            ZONE,
            270,
            pool,
            new FencingTokens(() -> 1_800_000_000_000L),
            registry,
            () -> TimeUnit.MILLISECONDS.toNanos(nowMillis));
    private final HostState strong =
            new HostState(new HostId("strong"), ZONE, 9, 1_500, false, 0, Set.of(), PoolLoad.NONE);

    /** Remembers what it was told. */
    private static final class Pool implements ServerPool {
        private final Set<ServerId> owned = new HashSet<>();
        private final Set<ServerId> busy = new HashSet<>();
        private boolean released;

        @Override
        public void assign(Collection<ServerDescriptor> servers) {
            owned.clear();
            servers.forEach(server -> owned.add(server.id()));
        }

        @Override
        public void submit(PooledJob job, Consumer<JobOutcome> whenEnded) {
            whenEnded.accept(JobOutcome.completed());
        }

        @Override
        public void cancel(CallerJobId id, String reason) {}

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
        dispatcher.registered(1);
        dispatcher.review(List.of());
        assertThat(pool.owned).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    private static StoreClient.Entry entry(ServerId id) {
        String value = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\","
                + "\"capacity\":{\"cpu\":1,\"mem_mb\":1}}";
        return new StoreClient.Entry(id.value(), value.getBytes(StandardCharsets.UTF_8));
    }

    private JobOutcome.Kind submitted() {
        return submittedFrom(new HostId("weak"));
    }

    private JobOutcome.Kind submittedFrom(HostId from) {
        JobOutcome.Kind[] kind = new JobOutcome.Kind[1];
        PooledJob job = new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueuePolicy("q", "s", 0, 3, 1.6, 60),
                "",
                1,
                new TaskRequirements(1, 1, 0, 60, "", "", 0),
                0,
                1_500);
        dispatcher.submit(from, job, outcome -> kind[0] = outcome.kind());
        return kind[0];
    }

    @Nested
    class BesideAMuchStrongerHost {
        @Test
        void keepsEachServerUntilNothingRunsThere() {
            pool.busy.add(FIRST);
            dispatcher.review(List.of(strong));
            assertThat(dispatcher.state().leaving()).isTrue();
            assertThat(dispatcher.state().heldServers()).containsExactly(FIRST);
            assertThat(pool.released).isFalse();
            pool.busy.clear();
            dispatcher.review(List.of(strong));
            assertThat(dispatcher.state().heldServers()).isEmpty();
            assertThat(dispatcher.state().dispatching()).isFalse();
            assertThat(pool.released).isTrue();
        }

        @Test
        void takesNoNewJobs() {
            pool.busy.add(FIRST);
            assertThat(submitted()).isEqualTo(JobOutcome.Kind.COMPLETED);
            dispatcher.review(List.of(strong));
            assertThat(submitted()).isEqualTo(JobOutcome.Kind.REFUSED);
        }

        @Test
        void goesOnWhenThatHostIsGoneBeforeTheEnd() {
            pool.busy.add(FIRST);
            dispatcher.review(List.of(strong));
            dispatcher.review(List.of());
            assertThat(dispatcher.dispatching()).isTrue();
            assertThat(pool.owned).containsExactlyInAnyOrder(FIRST, SECOND);
        }
    }

    @Test
    void aStoppingHostKeepsOnlyServersThatAreInUse() {
        pool.busy.add(SECOND);
        dispatcher.leave();
        dispatcher.review(List.of(strong));
        assertThat(dispatcher.state().heldServers()).containsExactly(SECOND);
    }

    /** Soak seed 10: a paused dispatcher started a job that its caller had sent to another zone meanwhile. */
    @Nested
    class AfterAStandstill {
        private static final HostId ENTRY_HOST = new HostId("other");

        @BeforeEach
        void standStill() {
            dispatcher.tick(host -> true);
            nowMillis += 650;
        }

        @Test
        void refusesWhatWaitedInAConnection() {
            assertThat(submittedFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.REFUSED);
            dispatcher.tick(host -> true);
            nowMillis += 20;
            assertThat(submittedFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.REFUSED);
        }

        @Test
        void takesJobsAgainWhenItHasCaughtUp() {
            for (int i = 0; i < 10; i++) {
                dispatcher.tick(host -> true);
                nowMillis += 20;
            }
            assertThat(submittedFrom(ENTRY_HOST)).isEqualTo(JobOutcome.Kind.COMPLETED);
        }

        @Test
        void takesJobsOfItsOwnCallers() {
            assertThat(submitted()).isEqualTo(JobOutcome.Kind.COMPLETED);
        }
    }
}
