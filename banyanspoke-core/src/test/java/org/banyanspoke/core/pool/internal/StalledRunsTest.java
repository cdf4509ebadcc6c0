package org.banyanspoke.core.pool.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.TaskKey;
import org.banyanspoke.core.pool.TaskRequirements;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against stops of runs that make progress, and against runs that stand still and are not stopped. */
class StalledRunsTest {
    private static final long START = 10_000;
    private static final CallerJobId JOB = new CallerJobId("00000000000000aa");

    private static Run run(long expectedMillis) {
        PooledJob job = new PooledJob(
                JOB,
                new QueuePolicy("q", "s", 0, 3, 1.6, 60),
                "",
                1,
                new TaskRequirements(1_000, 1, 0, expectedMillis, "", "", 0),
                0,
                60_000);
        JobProgress progress = new JobProgress(job, START, START, START);
        return new Run(new RunKey(new TaskKey(JOB, 0), 1), progress, START, expectedMillis);
    }

    /** Reports a progress at several times after the start. */
    private static Run report(Run run, int percent, long... afterMillis) {
        for (long each : afterMillis) {
            run.recordReport(percent, START + each);
        }
        return run;
    }

    @Nested
    class IsStalled {
        @Test
        void ifSeveralReportsShowNoProgress() {
            assertThat(StalledRuns.isStalled(report(run(100), 0, 250, 500))).isTrue();
        }

        @Test
        void atAnyProgress() {
            Run run = report(run(100), 90, 250);
            assertThat(StalledRuns.isStalled(report(run, 90, 500, 750))).isTrue();
        }
    }

    @Nested
    class IsNotStalled {
        @Test
        void whileItsProgressIncreases() {
            Run run = run(100);
            for (int i = 1; i < 40; i++) {
                report(run, i, i * 250L);
                assertThat(StalledRuns.isStalled(run)).isFalse();
            }
        }

        @Test
        void whenASingleReportIsLate() {
            assertThat(StalledRuns.isStalled(report(run(100), 0, 2_000))).isFalse();
        }

        @Test
        void whenReportsFollowEachOtherClosely() {
            assertThat(StalledRuns.isStalled(report(run(100), 0, 2_000, 2_001, 2_002)))
                    .isFalse();
        }

        @Test
        void ifItsExpectedRunTimeAllowsForLongerSteps() {
            assertThat(StalledRuns.isStalled(report(run(20_000), 0, 250, 500, 750, 1_000)))
                    .isFalse();
            assertThat(StalledRuns.isStalled(report(run(20_000), 0, 1_000, 2_250)))
                    .isTrue();
        }
    }

    @Nested
    class IsRestarted {
        @Test
        void onlyFromASlowServer() {
            Run run = report(run(100), 20, 250);
            assertThat(StalledRuns.isOnSlowServer(run, 1.5)).isFalse();
            assertThat(StalledRuns.isOnSlowServer(run, 2.5)).isTrue();
        }

        @Test
        void onlyIfTheNewRunEndsMuchEarlier() {
            assertThat(StalledRuns.isWorthRestarting(1_000, 500)).isFalse();
            assertThat(StalledRuns.isWorthRestarting(1_000, 300)).isTrue();
        }

        @Test
        void notWithoutAServerThatHasRoom() {
            assertThat(StalledRuns.isWorthRestarting(1_000, Double.POSITIVE_INFINITY))
                    .isFalse();
        }
    }
}
