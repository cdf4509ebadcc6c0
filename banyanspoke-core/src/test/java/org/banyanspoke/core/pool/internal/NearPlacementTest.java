package org.banyanspoke.core.pool.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.core.pool.internal.NearPlacement.Choice;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against waits for near servers that do not pay, and far runs that a short wait would have avoided. */
class NearPlacementTest {
    private static final long NOW = 10_000;
    /** Far run in time, near run in time after a wait of up to 1.8 s. */
    private static final long LATE_TARGET = NOW + 2_000;
    /** Only a near run that starts within 60 ms is in time. */
    private static final long EARLY_TARGET = NOW + 170;

    private static final long LATE_EXPIRY = NOW + 9_000;

    private static Choice choice(long nearInMillis, long targetMillis, long expiryMillis) {
        return new Choice(NOW + nearInMillis, 100, 200, targetMillis, expiryMillis);
    }

    private static boolean waits(long nearInMillis, long targetMillis) {
        return choice(nearInMillis, targetMillis, LATE_EXPIRY).waits(NOW);
    }

    @Nested
    class WhenBothAreInTime {
        @Test
        void waitsIfTheNearRunEndsClearlyEarlier() {
            assertThat(waits(50, LATE_TARGET)).isTrue();
        }

        @Test
        void runsFarIfTheNearRunEndsLittleEarlier() {
            assertThat(waits(80, LATE_TARGET)).isFalse();
        }

        @Test
        void endsTheWaitSoonAfterTheExpectedTime() {
            assertThat(choice(50, LATE_TARGET, LATE_EXPIRY).waitUntilMillis(NOW))
                    .isBetween(NOW + 50, NOW + 100);
        }
    }

    @Nested
    class WhenOnlyANearRunIsInTime {
        @Test
        void tasksWait() {
            assertThat(waits(50, EARLY_TARGET)).isTrue();
        }

        @Test
        void waitsUntilTheNearRunWouldBeLateToo() {
            assertThat(choice(50, EARLY_TARGET, LATE_EXPIRY).waitUntilMillis(NOW))
                    .isEqualTo(NOW + 60);
        }
    }

    @Nested
    class WhenNeitherIsInTime {
        @Test
        void runsFar() {
            assertThat(waits(70, EARLY_TARGET)).isFalse();
        }
    }

    @Nested
    class BeforeTheExpiry {
        @Test
        void leavesTimeForTheFarRun() {
            Choice choice = choice(50, LATE_TARGET, NOW + 280);
            assertThat(choice.waits(NOW)).isTrue();
            assertThat(choice.waitUntilMillis(NOW)).isEqualTo(NOW + 60);
        }

        @Test
        void doesNotWaitIfThatLeavesNoTimeForTheFarRun() {
            assertThat(choice(50, LATE_TARGET, NOW + 260).waits(NOW)).isFalse();
        }

        @Test
        void waitsIfTheFarRunIsTooLateAnyway() {
            assertThat(choice(50, EARLY_TARGET, NOW + 200).waits(NOW)).isTrue();
        }
    }

    @Nested
    class IsInactive {
        private boolean concerns(double farFactor, String rack) {
            PooledJob job = new PooledJob(
                    new CallerJobId("00000000000000aa"),
                    new QueuePolicy("q", "s", 0, 3, 1.6, 60),
                    "",
                    1,
                    new TaskRequirements(1_000, 1, 0, 100, "", rack, 0),
                    0,
                    1_000);
            return new NearPlacement(farFactor, PoolListener.NONE).concerns(new JobProgress(job, NOW, NOW, NOW));
        }

        @Test
        void withoutARack() {
            assertThat(concerns(2, "")).isFalse();
        }

        @Test
        void ifFarRunsTakeNoLonger() {
            assertThat(concerns(1, "rack-1")).isFalse();
        }

        @Test
        void unlessBothApply() {
            assertThat(concerns(2, "rack-1")).isTrue();
        }
    }

    @Nested
    class TheRoomOfAServer {
        private final RoomTimeline timeline = new RoomTimeline(NOW, 1_000, 100, 0);

        private TaskRequirements task(int cpuMillicores, int memoryMegabytes, int gpus) {
            return new TaskRequirements(cpuMillicores, memoryMegabytes, gpus, 100, "", "", 0);
        }

        @Test
        void isFreeAtOnceIfTheTaskFits() {
            assertThat(timeline.earliestStartMillis(task(1_000, 100, 0))).isEqualTo(NOW);
        }

        @Test
        void isFreeOnceEnoughRunsHaveEnded() {
            timeline.addRelease(NOW + 300, 1_000, 0, 0);
            timeline.addRelease(NOW + 100, 1_000, 0, 0);
            assertThat(timeline.earliestStartMillis(task(2_000, 100, 0))).isEqualTo(NOW + 100);
            assertThat(timeline.earliestStartMillis(task(3_000, 100, 0))).isEqualTo(NOW + 300);
        }

        @Test
        void isNeverFreeForLackOfMemoryOrGpus() {
            timeline.addRelease(NOW + 100, 1_000, 0, 0);
            timeline.addRelease(RoomTimeline.NEVER, 1_000, 100, 1);
            assertThat(timeline.earliestStartMillis(task(1_000, 101, 0))).isEqualTo(RoomTimeline.NEVER);
            assertThat(timeline.earliestStartMillis(task(1_000, 100, 1))).isEqualTo(RoomTimeline.NEVER);
        }

        /** Guards against several tasks that wait for the end of the same run. */
        @Test
        void isUsedUpByPlannedTasks() {
            timeline.addRelease(NOW + 100, 1_000, 0, 0);
            timeline.plan(task(1_000, 0, 0), NOW, NOW + 200);
            timeline.plan(task(1_000, 0, 0), NOW + 100, NOW + 300);
            assertThat(timeline.earliestStartMillis(task(1_000, 0, 0))).isEqualTo(NOW + 200);
        }
    }
}
