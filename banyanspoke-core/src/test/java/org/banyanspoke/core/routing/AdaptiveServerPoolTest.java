package org.banyanspoke.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.EntryHostConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TaskId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.banyanspoke.core.dispatch.DispatcherStats.ServerView;
import org.banyanspoke.core.dispatch.LoadReport;
import org.banyanspoke.core.routing.internal.RendezvousAssignment;
import org.banyanspoke.core.schedule.SlotAccess;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdaptiveServerPoolTest {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;
    private static final ServerId S0 = new ServerId("s0");
    private static final ServerId S1 = new ServerId("s1");
    private static final TaskSpec TASK = new TaskSpec(new TaskId("t"), "", 100, true);
    private static final TaskSpec NOT_IDEMPOTENT = new TaskSpec(new TaskId("t"), "", 100, false);
    private static final BatchConfig BATCH = new BatchConfig(
            new BatchId("b"), new TeamId("a"), UrgencyClass.NORMAL, Instant.MAX, 60_000, Set.of(), Set.of());

    private long nowNanos = -SECOND;
    private final ServerPool pool =
            ServerPools.adaptive(new HostId("h0"), () -> nowNanos, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

    private static EntryHostConfig host(int number, String zone) {
        return new EntryHostConfig(new HostId("h" + number), new ZoneId(zone), "127.0.0.1:1");
    }

    private static BackendServerConfig server(int number, String zone, ServerState state) {
        return new BackendServerConfig(
                new ServerId("s" + number), new ZoneId(zone), "r", "127.0.0.1:2", 8, 64, Set.of(), state);
    }

    private static ConfigState config(long number, BackendServerConfig... servers) {
        Map<ServerId, BackendServerConfig> byId = new HashMap<>();
        for (BackendServerConfig server : servers) {
            byId.put(server.id(), server);
        }
        EntryHostConfig self = host(0, "z1");
        return new ConfigState(number, Map.of(), Map.of(), byId, Map.of(self.id(), self), ClassShares.DEFAULT);
    }

    private void runTask(ServerId server, Outcome outcome, long elapsedMillis, LoadReport load) {
        pool.onSent(server, TASK);
        pool.onEnded(server, TASK, new AttemptResult(outcome, "", elapsedMillis * MILLI, load, false, "1"));
    }

    private ServerView view(ServerId server) {
        return pool.views().stream()
                .filter(view -> view.server().equals(server))
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class Selection {
        /** Guards against preferring slow servers or servers in another availability zone. */
        @Test
        void prefersFasterServerThenSameZone() {
            pool.configure(config(1, server(0, "z2", ServerState.IN_SERVICE), server(1, "z1", ServerState.IN_SERVICE)));
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S1);
            for (int i = 0; i < 10; i++) {
                runTask(S0, Outcome.DONE, 50, new LoadReport(0, 0, 8));
                runTask(S1, Outcome.DONE, 200, new LoadReport(0, 0, 8));
            }
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
        }

        /** Guards against short run times of failed tasks that raise the learned speed. */
        @Test
        void failuresDoNotChangeLearnedSpeed() {
            pool.configure(config(1, server(0, "z1", ServerState.IN_SERVICE)));
            runTask(S0, Outcome.DONE, 100, null);
            runTask(S0, Outcome.FAILED, 1, null);
            assertThat(view(S0).speed()).isEqualTo(1);
        }
    }

    @Nested
    class Ejections {
        Ejections() {
            pool.configure(config(1, server(0, "z1", ServerState.IN_SERVICE)));
        }

        /**
         * Guards against ejection of healthy servers, and against leaked window places, when many tasks are cancelled.
         */
        @Test
        void stoppedTasksAreNotCountedAsFailures() {
            for (int i = 0; i < 5; i++) {
                pool.onSent(S0, TASK);
                pool.onStopped(S0, TASK, new AttemptResult(Outcome.FAILED, "", MILLI, null, false, "1"));
            }
            assertThat(view(S0).ejected()).isFalse();
            assertThat(view(S0).inFlight()).isZero();
        }

        private void failUntilEjected(int failures, long elapsedMillis) {
            for (int i = 0; i < failures; i++) {
                assertThat(view(S0).ejected()).isFalse();
                runTask(S0, Outcome.FAILED, elapsedMillis, null);
            }
            assertThat(view(S0).ejected()).isTrue();
        }

        /** Guards against fast failures being counted only once. */
        @Test
        void ejectedAfterThreeFailuresOrTwoFastFailures() {
            failUntilEjected(3, 100);
            nowNanos += 5 * SECOND;
            failUntilEjected(1, 100);
        }

        /** Guards against sending tasks before the ejection ends, and non-idempotent or parallel tasks on probation. */
        @Test
        void probationAllowsOneIdempotentTaskAtATime() {
            failUntilEjected(2, 1);
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).isEmpty();
            nowNanos += 5 * SECOND;
            assertThat(pool.select(BATCH, NOT_IDEMPOTENT, SlotAccess.ALL_SLOTS)).isEmpty();
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
            pool.onSent(S0, TASK);
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).isEmpty();
            pool.onEnded(S0, TASK, new AttemptResult(Outcome.DONE, "", 100 * MILLI, null, false, "1"));
            runTask(S0, Outcome.DONE, 100, null);
            runTask(S0, Outcome.DONE, 100, null);
            assertThat(pool.select(BATCH, NOT_IDEMPOTENT, SlotAccess.ALL_SLOTS)).contains(S0);
        }

        /** Guards against retrying a permanently failing server every 5 s. */
        @Test
        void ejectionTimeDoublesUpToOneMinute() {
            failUntilEjected(2, 1);
            for (long seconds : new long[] {5, 10, 20, 40, 60, 60}) {
                nowNanos += seconds * SECOND - 1;
                assertThat(view(S0).ejected()).isTrue();
                nowNanos += 1;
                failUntilEjected(1, 100);
            }
        }
    }

    @Nested
    class Claims {
        Claims() {
            Map<HostId, EntryHostConfig> entryHosts = new HashMap<>();
            for (int i = 0; i < 8; i++) {
                entryHosts.put(host(i, "z1").id(), host(i, "z1"));
            }
            Map<ServerId, BackendServerConfig> servers = Map.of(S0, server(0, "z1", ServerState.IN_SERVICE));
            pool.configure(new ConfigState(1, Map.of(), Map.of(), servers, entryHosts, ClassShares.DEFAULT));
        }

        /**
         * Guards against overload that fills servers, and against slots that stay reserved after the load report
         * expired.
         */
        @Test
        void reservesASlotUntilTheLoadReportExpires() {
            runTask(S0, Outcome.DONE, 100, new LoadReport(7, 0, 8));
            assertThat(pool.select(BATCH, TASK, SlotAccess.UNRESERVED_SLOTS)).isEmpty();
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
            nowNanos += 2 * SECOND;
            assertThat(pool.select(BATCH, TASK, SlotAccess.UNRESERVED_SLOTS)).contains(S0);
        }

        /** Guards against a cached lack of capacity that outlives a result, a stopped task or a load report. */
        @Test
        void noCapacityCacheIsInvalidated() {
            pool.onSent(S0, TASK);
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).isEmpty();
            pool.onStopped(S0, TASK, new AttemptResult(Outcome.FAILED, "", MILLI, null, false, "1"));
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
            pool.onSent(S0, TASK);
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).isEmpty();
            pool.onEnded(S0, TASK, new AttemptResult(Outcome.DONE, "", 100 * MILLI, null, false, "1"));
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
            runTask(S0, Outcome.DONE, 100, new LoadReport(7, 0, 8));
            nowNanos += 2 * SECOND - 1;
            assertThat(pool.select(BATCH, TASK, SlotAccess.UNRESERVED_SLOTS)).isEmpty();
            nowNanos += MILLI;
            assertThat(pool.select(BATCH, TASK, SlotAccess.UNRESERVED_SLOTS)).contains(S0);
        }

        /** Guards against a reserved slot that makes a server with one slot unusable for overloading work. */
        @Test
        void unreservedSlotClaimUsesAnIdleServerWithOneSlot() {
            BackendServerConfig small = new BackendServerConfig(
                    S0, new ZoneId("z1"), "r", "127.0.0.1:2", 1, 64, Set.of(), ServerState.IN_SERVICE);
            pool.configure(config(2, small));
            runTask(S0, Outcome.DONE, 100, new LoadReport(0, 0, 1));
            assertThat(pool.select(BATCH, TASK, SlotAccess.UNRESERVED_SLOTS)).contains(S0);
            pool.onSent(S0, TASK);
            assertThat(pool.select(BATCH, TASK, SlotAccess.UNRESERVED_SLOTS)).isEmpty();
        }

        /** Guards against a burst that cannot use free slots beyond the window, or exceeds the free slots. */
        @Test
        void allSlotsClaimUsesFreeSlotsBeyondTheWindow() {
            runTask(S0, Outcome.DONE, 100, new LoadReport(6, 0, 8));
            pool.onSent(S0, TASK);
            assertThat(view(S0).window()).isLessThan(2);
            assertThat(pool.select(BATCH, TASK, SlotAccess.UNRESERVED_SLOTS)).isEmpty();
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
            pool.onSent(S0, TASK);
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).isEmpty();
        }
    }

    @Nested
    class FailingTasks {
        /** Guards against a job whose tasks always fail and that ejects every server. */
        @Test
        void mostServersAreNotEjected() {
            BackendServerConfig[] servers = new BackendServerConfig[9];
            for (int i = 0; i < servers.length; i++) {
                servers[i] = server(i, "z1", ServerState.IN_SERVICE);
            }
            pool.configure(config(1, servers));
            for (int i = 0; i < 90; i++) {
                runTask(new ServerId("s" + i % 9), Outcome.FAILED, 1, null);
            }
            assertThat(pool.views().stream().filter(ServerView::ejected).count())
                    .isLessThanOrEqualTo(4);
        }
    }

    @Nested
    class Leaving {
        private void respond(boolean leaving, String incarnation) {
            pool.onSent(S0, TASK);
            pool.onEnded(S0, TASK, new AttemptResult(Outcome.DONE, "", 100 * MILLI, null, leaving, incarnation));
        }

        /** Guards against new tasks for a leaving server, and against a leaving state that is never cleared. */
        @Test
        void reportedLeavingEndsWithNewIncarnationOrConfiguration() {
            pool.configure(config(1, server(0, "z1", ServerState.IN_SERVICE)));
            respond(true, "1");
            respond(false, "1");
            assertThat(pool.hasEligible(BATCH)).isFalse();
            respond(false, "2");
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
            respond(true, "2");
            pool.configure(config(2, server(0, "z1", ServerState.LEAVING)));
            pool.configure(config(3, server(0, "z1", ServerState.IN_SERVICE)));
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).contains(S0);
            pool.setLeaving(Set.of(S0));
            assertThat(pool.select(BATCH, TASK, SlotAccess.ALL_SLOTS)).isEmpty();
        }
    }

    @Group
    class Windows {
        /** Guards against a window below one request or above the number of connections. */
        @Property(tries = 200, seed = "4")
        void staysBetweenOneAndEight(@ForAll long seed) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            pool.configure(config(1, server(0, "z1", ServerState.IN_SERVICE)));
            for (int i = 0; i < 100; i++) {
                LoadReport load =
                        random.nextInt(4) == 0 ? null : new LoadReport(random.nextInt(9), random.nextInt(60), 8);
                runTask(S0, Outcome.values()[random.nextInt(5)], 1 + random.nextInt(2_000), load);
                assertThat(view(S0).window()).isBetween(1.0, 8.0);
            }
        }
    }

    @Group
    class Assignment {
        private final RendezvousAssignment assignment = new RendezvousAssignment();

        /** Guards against moving servers between the remaining hosts when one host is removed. */
        @Property(tries = 50, seed = "5")
        void removingAHostOnlyReassignsItsServers(
                @ForAll @IntRange(min = 9, max = 40) int hosts, @ForAll @IntRange(max = 8) int removedIndex) {
            List<EntryHostConfig> entryHosts = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                entryHosts.add(host(i, "z" + i % 3));
            }
            List<EntryHostConfig> remaining = new ArrayList<>(entryHosts);
            HostId removed = remaining.remove(removedIndex).id();
            for (int i = 0; i < 100; i++) {
                BackendServerConfig server = server(i, "z" + i % 3, ServerState.IN_SERVICE);
                List<HostId> before = assignment.assignedHosts(server, entryHosts);
                List<HostId> after = assignment.assignedHosts(server, remaining);
                assertThat(before).hasSize(8).doesNotHaveDuplicates();
                assertThat(after)
                        .hasSize(8)
                        .containsAll(before.stream()
                                .filter(id -> !id.equals(removed))
                                .toList());
            }
        }
    }
}
