package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.CapacityHistogram;
import org.banyanspoke.core.pool.FreeRoom;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.QueuedCapacity;
import org.banyanspoke.core.pool.TaskRequirements;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against jobs sent to zones where they do not fit, and against hosts that all choose the same zone. */
class TaskSizeRoutingTest {
    private static final ZoneId A = new ZoneId("a");
    private static final ZoneId B = new ZoneId("b");
    private static final ZoneId C = new ZoneId("c");
    private static final int SERVERS = 10;
    private static final int SERVER_MILLICORES = 64_000;

    private static PooledJob job(int priority, int tasks, int cpuMillicores) {
        return new PooledJob(
                new CallerJobId("00000000000000aa"),
                new QueuePolicy("q", "s", priority, 3, 1.6, 60),
                "",
                tasks,
                new TaskRequirements(cpuMillicores, 64, 0, 200, "", "", 0),
                0,
                1_500);
    }

    /** Returns the load of a zone with 10 servers of 64 cores and the given free capacities on the first ones. */
    private static PoolLoad load(List<QueuedCapacity> queued, int... freeMillicores) {
        int[] free = new int[SERVERS];
        long sum = 0;
        for (int i = 0; i < freeMillicores.length; i++) {
            free[i] = freeMillicores[i];
            sum += freeMillicores[i];
        }
        int[] total = new int[SERVERS];
        Arrays.fill(total, SERVER_MILLICORES);
        long queuedMillicores =
                queued.stream().mapToLong(QueuedCapacity::millicores).sum();
        return new PoolLoad(
                SERVERS * SERVER_MILLICORES,
                sum,
                0,
                0,
                queuedMillicores,
                200,
                new FreeRoom(CapacityHistogram.of(free), CapacityHistogram.of(total)),
                queued,
                0,
                0);
    }

    private static HostState dispatcher(ZoneId zone, long reportNumber, PoolLoad load) {
        return new HostState(new HostId("h-" + zone.value()), zone, 1, 1_000, false, 1, Set.of(), load, reportNumber);
    }

    private static JobRouter router(ZoneId zone, long seed) {
        return new JobRouter(zone, new SplittableRandom(seed));
    }

    private static int[] repeat(int value, int count) {
        int[] values = new int[count];
        Arrays.fill(values, value);
        return values;
    }

    @Nested
    class LargeTasksOnFragmentedServers {
        private final List<HostState> states = List.of(
                dispatcher(A, 1, load(List.of(), repeat(28_000, 10))),
                dispatcher(B, 1, load(List.of(), 64_000, 64_000)));

        /** The own zone has twice the free capacity, but in pieces that hold no such task. */
        @Test
        void aJobGoesToTheZoneWhereItFits() {
            assertThat(router(A, 1).choose(job(1, 2, 36_000), states))
                    .map(HostState::zone)
                    .contains(B);
        }

        @Test
        void aJobThatFitsInTheFragmentsStays() {
            assertThat(router(A, 1).choose(job(1, 8, 28_000), states))
                    .map(HostState::zone)
                    .contains(A);
        }

        @Test
        void aJobThatIsLargerThanEachServerIsStillAnsweredByADispatcher() {
            assertThat(router(A, 1).choose(job(1, 1, 80_000), states)).isPresent();
            assertThat(router(A, 1).chooseBeforeExpiry(job(1, 1, 80_000), states))
                    .isEmpty();
        }
    }

    @Nested
    class BurstOfTheUrgentKind {
        /** Queued jobs of lower priority go after an urgent one, which must not leave its zone for them. */
        @Test
        void onlyWorkAheadCounts() {
            List<HostState> states = List.of(
                    dispatcher(A, 1, load(List.of(new QueuedCapacity(2, 900_000)), 64_000)),
                    dispatcher(B, 1, load(List.of(), repeat(64_000, 10))));
            assertThat(router(A, 1).choose(job(0, 1, 36_000), states))
                    .map(HostState::zone)
                    .contains(A);
            assertThat(router(A, 1).choose(job(2, 1, 36_000), states))
                    .map(HostState::zone)
                    .contains(B);
        }
    }

    /** Hosts with the same loads, 200 ms old, that all have a job which does not fit in their own zone. */
    @Nested
    class WaveMovingBetweenZones {
        private static final int HOSTS = 40;

        @Test
        void theHostsSpreadOverTheZonesByFreeSlots() {
            List<HostState> states = List.of(
                    dispatcher(A, 1, load(List.of(new QueuedCapacity(0, 640_000)))),
                    dispatcher(B, 1, load(List.of(), repeat(64_000, 10))),
                    dispatcher(C, 1, load(List.of(), repeat(64_000, 5))));
            Map<ZoneId, Integer> counts = new HashMap<>();
            for (int host = 0; host < HOSTS; host++) {
                router(A, host)
                        .choose(job(0, 1, 36_000), states)
                        .ifPresent(chosen -> counts.merge(chosen.zone(), 1, Integer::sum));
            }
            assertThat(counts).containsOnlyKeys(B, C);
            assertThat(counts.get(B)).isBetween(HOSTS / 2, HOSTS - 5);
        }

        /** The wave overloads one zone after the other; in each period the jobs that leave must reach all others. */
        @Test
        void noZoneGetsAllOfTheJobsThatLeaveTheOverloadedOne() {
            List<ZoneId> zones = List.of(A, B, C);
            for (int period = 0; period < 6; period++) {
                ZoneId overloaded = zones.get(period % 3);
                List<HostState> states = new ArrayList<>();
                for (ZoneId zone : zones) {
                    PoolLoad load = zone.equals(overloaded)
                            ? load(List.of(new QueuedCapacity(0, 640_000)))
                            : load(List.of(), repeat(64_000, 8));
                    states.add(dispatcher(zone, period, load));
                }
                Map<ZoneId, Integer> counts = new HashMap<>();
                for (int host = 0; host < HOSTS; host++) {
                    router(overloaded, 100 * period + host)
                            .choose(job(0, 1, 36_000), states)
                            .ifPresent(chosen -> counts.merge(chosen.zone(), 1, Integer::sum));
                }
                assertThat(counts).hasSize(2).doesNotContainKey(overloaded);
                assertThat(counts.values()).allMatch(count -> count >= HOSTS / 5);
            }
        }
    }

    @Nested
    class WhenReportsStop {
        private final HostState full = dispatcher(A, 1, load(List.of(new QueuedCapacity(0, 6_400_000))));

        private Optional<ZoneId> choose(JobRouter router, HostState other) {
            return router.choose(job(0, 1, 36_000), List.of(full, other)).map(HostState::zone);
        }

        /** A paused dispatcher keeps its last report; slots that were used since must not be offered again. */
        @Test
        void usedSlotsAreNotCountedAgain() {
            HostState paused = dispatcher(B, 7, load(List.of(), 64_000, 64_000, 64_000));
            HostState slow = dispatcher(C, 7, load(List.of(new QueuedCapacity(0, 64_000))));
            JobRouter router = router(A, 1);
            for (int i = 0; i < 3; i++) {
                assertThat(choose(router, paused)).contains(B);
            }
            Map<ZoneId, Integer> counts = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                router.choose(job(0, 1, 36_000), List.of(full, paused, slow))
                        .ifPresent(chosen -> counts.merge(chosen.zone(), 1, Integer::sum));
            }
            assertThat(counts.get(C)).isGreaterThanOrEqualTo(8);
        }

        @Test
        void aNewReportWithEqualFiguresCountsTheSlotsAgain() {
            JobRouter router = router(A, 1);
            HostState slow = dispatcher(C, 1, load(List.of(new QueuedCapacity(0, 64_000))));
            for (long report = 1; report < 20; report++) {
                HostState reported = dispatcher(B, report, load(List.of(), 64_000));
                assertThat(router.choose(job(0, 1, 36_000), List.of(full, reported, slow)))
                        .map(HostState::zone)
                        .contains(B);
            }
        }

        /** A zone that comes back with idle servers gets its share of the jobs, not all of them. */
        @Test
        void aZoneThatReturnsIsNotFlooded() {
            HostState returned = dispatcher(B, 1, load(List.of(), repeat(64_000, 10)));
            HostState other = dispatcher(C, 1, load(List.of(), repeat(64_000, 6)));
            Map<ZoneId, Integer> counts = new HashMap<>();
            for (int host = 0; host < 40; host++) {
                router(A, host)
                        .choose(job(0, 1, 36_000), List.of(full, returned, other))
                        .ifPresent(chosen -> counts.merge(chosen.zone(), 1, Integer::sum));
            }
            assertThat(counts.get(B)).isLessThan(35);
            assertThat(counts.get(C)).isGreaterThan(5);
        }
    }

    /** A peer of an older build reports sums only; it is assessed by them, next to peers that report slots. */
    @Nested
    class PeersWithoutAHistogram {
        @Test
        void areAssessedByTheirSums() {
            HostState old = dispatcher(B, 1, new PoolLoad(640_000, 200_000, 0, 0, 0, 200));
            HostState full = dispatcher(A, 1, load(List.of(new QueuedCapacity(0, 640_000))));
            assertThat(router(A, 1).choose(job(0, 5, 36_000), List.of(full, old)))
                    .map(HostState::zone)
                    .contains(B);
        }

        @Test
        void countTheirWholeQueue() {
            HostState old = dispatcher(B, 1, new PoolLoad(640_000, 64_000, 0, 0, 6_400_000, 200));
            HostState own = dispatcher(A, 1, load(List.of(), 20_000));
            assertThat(router(A, 1).choose(job(0, 1, 36_000), List.of(own, old)))
                    .map(HostState::zone)
                    .contains(A);
        }
    }
}
