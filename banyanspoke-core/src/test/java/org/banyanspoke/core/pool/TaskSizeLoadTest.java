package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against jobs that are held until they expire, or refused, because free capacity is in fragments. */
class TaskSizeLoadTest {
    private final SimulatedServers simulation = new SimulatedServers();
    private final ServerPool pool = newPool();
    private final SimulatedJobs jobs = new SimulatedJobs(simulation, pool);
    private final Random random = new Random(20_261_206);

    private ServerPool newPool() {
        return SimulatedPools.create(simulation, 2, PoolListener.NONE);
    }

    @BeforeEach
    void useSizesOfJobs() {
        simulation.cpuMillicores = run -> jobs.cpuMillicores(run.task().job());
        simulation.runMillis = run -> jobs.estimate(run.task().job());
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    private void addServers(int count, int cpuMillicores) {
        for (int i = 0; i < count; i++) {
            simulation.add("s" + cpuMillicores + "-" + i, "a", cpuMillicores);
        }
        pool.assign(simulation.descriptors());
        simulation.run(pool, 100);
    }

    private int largeSize() {
        return 26_000 + random.nextInt(22_001);
    }

    private void submitEvery(long periodMillis, long forMillis, Runnable submission) {
        for (long at = 0; at < forMillis; at += periodMillis) {
            simulation.after(at, submission);
        }
    }

    /** Each server runs one task that leaves less than the next one needs. */
    @Nested
    class LargeTasksOnFragmentedServers {
        /** Half of the capacity is free, but none of it for another such task before a run ends after 1.4 s. */
        @Test
        void aJobThatCannotBeginInTimeIsRefusedAtOnce() {
            addServers(10, 64_000);
            for (int i = 0; i < 10; i++) {
                jobs.submitSized(SimulatedJobs.LONG, 1, 36_000, 1_400);
            }
            simulation.run(pool, 20);
            CallerJobId id = jobs.submitSized(SimulatedJobs.NORMAL, 30, 36_000, 100);
            simulation.run(pool, 20);
            assertThat(jobs.kind(id)).isEqualTo(Kind.REFUSED);
            assertThat(jobs.endedJobs.get(id).outcome().retryAfterMillis()).isBetween(500L, 1_400L);
        }

        @Test
        void aSmallerTaskUsesTheFragments() {
            addServers(10, 64_000);
            for (int i = 0; i < 10; i++) {
                jobs.submitSized(SimulatedJobs.LONG, 1, 36_000, 1_400);
            }
            simulation.run(pool, 20);
            CallerJobId id = jobs.submitSized(SimulatedJobs.NORMAL, 8, 28_000, 100);
            simulation.run(pool, 150);
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
        }

        @Test
        void theLoadTellsWhatFits() {
            addServers(10, 64_000);
            for (int i = 0; i < 10; i++) {
                jobs.submitSized(SimulatedJobs.LONG, 1, 36_000, 1_400);
            }
            simulation.run(pool, 20);
            assertThat(pool.load().freeMillicores()).isEqualTo(280_000);
            assertThat(pool.load().freeSlots(36_000)).isZero();
            assertThat(pool.load().freeSlots(28_000)).isEqualTo(10);
            assertThat(pool.load().totalSlots(36_000)).isEqualTo(10);
        }
    }

    @Nested
    class BurstOfTheLargestKind {
        @Test
        void keepsUrgentWorkAndRefusesTheRestAtOnce() {
            addServers(10, 64_000);
            addServers(6, 96_000);
            submitEvery(250, 8_000, () -> jobs.submitSized(SimulatedJobs.URGENT, 4, 26_000, 60));
            submitEvery(50, 8_000, () -> jobs.submitSized(SimulatedJobs.LONG, 2, largeSize(), 600));
            simulation.run(pool, 11_000);
            assertThat(jobs.endedJobs).hasSize((int) (jobs.sent(SimulatedJobs.URGENT) + jobs.sent(SimulatedJobs.LONG)));
            assertThat((double) jobs.completedWithin(SimulatedJobs.URGENT, 470) / jobs.sent(SimulatedJobs.URGENT))
                    .isGreaterThan(0.9);
            assertThat(jobs.count(SimulatedJobs.LONG, Kind.COMPLETED)).isGreaterThan(50);
            assertThat(jobs.endedJobs.values().stream()
                            .filter(ended -> ended.outcome().kind() == Kind.REFUSED)
                            .filter(ended -> ended.elapsedMillis() > 100)
                            .count())
                    .isLessThan(jobs.sent(SimulatedJobs.LONG) / 4);
        }

        /** Small tasks that use each freed fragment must not keep the largest ones from ever starting. */
        @Test
        void isNotStarvedBySmallTasksOfItsPriority() {
            addServers(10, 64_000);
            submitEvery(10, 8_000, () -> jobs.submitSized(SimulatedJobs.NORMAL, 1, 8_000, 400));
            submitEvery(200, 8_000, () -> jobs.submitSized(SimulatedJobs.NORMAL, 1, 48_000, 401));
            simulation.run(pool, 11_000);
            long large = jobs.endedJobs.values().stream()
                    .filter(ended -> ended.job().requirements().cpuMillicores() == 48_000)
                    .filter(ended -> ended.outcome().kind() == Kind.COMPLETED)
                    .count();
            assertThat(large).isGreaterThan(20);
        }
    }

    @Nested
    class BurstOfTheUrgentKind {
        @Test
        void urgentJobsBeyondTheCapacityAreRefusedAtOnceAndOthersAreNotStarved() {
            addServers(10, 64_000);
            submitEvery(20, 3_000, () -> jobs.submitSized(SimulatedJobs.URGENT, 4, largeSize(), 60));
            submitEvery(200, 8_000, () -> jobs.submitSized(SimulatedJobs.NORMAL, 1, 30_000, 300));
            simulation.run(pool, 11_000);
            assertThat(jobs.endedJobs)
                    .hasSize((int) (jobs.sent(SimulatedJobs.URGENT) + jobs.sent(SimulatedJobs.NORMAL)));
            assertThat(jobs.completedWithin(SimulatedJobs.URGENT, 470)).isGreaterThan(60);
            assertThat(jobs.count(SimulatedJobs.NORMAL, Kind.COMPLETED))
                    .isGreaterThan(jobs.sent(SimulatedJobs.NORMAL) / 2);
        }

        /** Queued work of lower priority goes after an urgent job, so it must not add to its expected wait. */
        @Test
        void workOfLowerPriorityDoesNotCountAsAhead() {
            addServers(4, 64_000);
            for (int i = 0; i < 12; i++) {
                jobs.submitSized(SimulatedJobs.LONG, 1, 36_000, 400);
            }
            simulation.run(pool, 20);
            assertThat(pool.load().queuedMillicores()).isPositive();
            assertThat(pool.load().queuedMillicoresBefore(SimulatedJobs.URGENT.priority()))
                    .isZero();
            assertThat(pool.load().queuedMillicoresBefore(SimulatedJobs.LONG.priority()))
                    .isPositive();
            assertThat(pool.load().slotsOfLargestQueued()).isZero();
        }
    }

    /** Where tasks are small against their servers, slots and sums must lead to the same decisions. */
    @Nested
    class SmallTasks {
        @Test
        void slotsAgreeWithTheSums() {
            addServers(10, 64_000);
            for (int i = 0; i < 30; i++) {
                jobs.submitSized(SimulatedJobs.NORMAL, 8, 1_000, 400);
            }
            simulation.run(pool, 20);
            PoolLoad load = pool.load();
            assertThat(load.freeMillicores()).isEqualTo(400_000);
            assertThat(load.freeSlots(1_000)).isEqualTo(400);
            assertThat(load.totalSlots(1_000)).isEqualTo(640);
        }

        /** Rounding the steps of a message down would make jobs of small tasks leave their zone early. */
        @Test
        void theirSlotsAreNotRoundedDownInAMessage() {
            int[] free = new int[50];
            Arrays.setAll(free, i -> 500 * i + 250);
            int[] total = new int[50];
            Arrays.fill(total, 64_000);
            FreeRoom room = new FreeRoom(CapacityHistogram.of(free), CapacityHistogram.of(total)).compact();
            long sum = Arrays.stream(free).sum();
            PoolLoad load = new PoolLoad(3_200_000, sum, 0, 0, 0, 100, room, List.of(), 500, 0);
            assertThat(room.freeSlots(500)).isLessThan(sum / 500 * 98 / 100);
            assertThat(load.freeSlots(500)).isEqualTo((double) sum / 500);
            assertThat(load.freeSlots(20_000)).isEqualTo(room.freeSlots(20_000));
        }
    }

    /** A short urgent job uses the few free slots several times while long runs hold the others. */
    @Nested
    class ShortTasksBesideLongRuns {
        @Test
        void areNotRefusedForTheRunTimeOfTheLongOnes() {
            addServers(3, 16_000);
            jobs.submitSized(SimulatedJobs.LONG, 3, 7_000, 900);
            simulation.run(pool, 20);
            CallerJobId id = jobs.submitSized(SimulatedJobs.URGENT, 8, 7_000, 60);
            simulation.run(pool, 400);
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
        }
    }
}
