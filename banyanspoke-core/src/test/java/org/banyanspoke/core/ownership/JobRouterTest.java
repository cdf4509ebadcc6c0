package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against queueing in one zone while another has free capacity and against unnecessary cross-zone traffic. */
class JobRouterTest {
    private final JobRouter router = new JobRouter(new ZoneId("a"), new SplittableRandom(1));

    private static HostState dispatcher(String zone, long free, long queuedMillicores) {
        return new HostState(
                new HostId("h-" + zone),
                new ZoneId(zone),
                1,
                1_000,
                false,
                1,
                Set.of(),
                new PoolLoad(200_000, free, 0, 0, queuedMillicores, 300));
    }

    @Test
    void aJobStaysInItsZoneWithFreeCapacity() {
        assertThat(router.choose(
                        TestJobs.ofEightTasks(), List.of(dispatcher("a", 100_000, 0), dispatcher("b", 200_000, 0))))
                .map(HostState::zone)
                .contains(new ZoneId("a"));
    }

    @Test
    void aJobLeavesAZoneWithAQueue() {
        assertThat(router.choose(
                        TestJobs.ofEightTasks(), List.of(dispatcher("a", 0, 200_000), dispatcher("b", 100_000, 0))))
                .map(HostState::zone)
                .contains(new ZoneId("b"));
    }

    @Test
    void aBurstBetweenLoadReportsIsSpread() {
        List<HostState> all = List.of(dispatcher("a", 60_000, 0), dispatcher("b", 60_000, 0));
        Map<ZoneId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            router.choose(TestJobs.ofEightTasks(), all)
                    .ifPresent(chosen -> counts.merge(chosen.zone(), 1, Integer::sum));
        }
        assertThat(counts.get(new ZoneId("b"))).isBetween(10, 25);
    }

    @Test
    void dispatchersThatAreLeavingOrWithoutServersAreNotChosen() {
        HostState leaving = new HostState(
                new HostId("h"), new ZoneId("a"), 1, 1_000, true, 1, Set.of(), new PoolLoad(1, 1, 0, 0, 0, 0));
        HostState empty = new HostState(new HostId("h"), new ZoneId("a"), 1, 1_000, false, 1, Set.of(), PoolLoad.NONE);
        assertThat(router.choose(TestJobs.ofEightTasks(), List.of(leaving, empty)))
                .isEmpty();
    }

    /**
     * The wait depends on the 300 ms mean run time of the running tasks, not on the shorter estimate of the queued
     * ones.
     */
    @Test
    void aJobLeavesAZoneWithFreeCapacityForHalfItsTasks() {
        assertThat(router.choose(
                        TestJobs.ofEightTasks(), List.of(dispatcher("a", 28_000, 0), dispatcher("b", 200_000, 0))))
                .map(HostState::zone)
                .contains(new ZoneId("b"));
    }

    /**
     * An idle zone reports the same load before and after a job. The work of the job was kept as unreported, so the next
     * job left an idle zone.
     */
    @Nested
    class IdleZoneReportsTheSameLoadTwice {
        private final HostState other = dispatcher("b", 200_000, 0);

        private HostState idleReport(long number) {
            return new HostState(
                    new HostId("h-a"),
                    new ZoneId("a"),
                    1,
                    1_000,
                    false,
                    1,
                    Set.of(),
                    new PoolLoad(60_000, 60_000, 0, 0, 0, 0),
                    number);
        }

        private Optional<ZoneId> choose(HostState own) {
            return router.choose(TestJobs.ofEightTasks(), List.of(own, other)).map(HostState::zone);
        }

        @Test
        void eachJobStaysInTheIdleZone() {
            assertThat(choose(idleReport(1))).contains(new ZoneId("a"));
            assertThat(choose(idleReport(2))).contains(new ZoneId("a"));
        }

        @Test
        void workCountsUntilTheNextReport() {
            assertThat(choose(idleReport(1))).contains(new ZoneId("a"));
            assertThat(choose(idleReport(1))).contains(new ZoneId("b"));
        }
    }
}
