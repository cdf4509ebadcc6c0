package org.banyanspoke.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.dispatch.AttemptResult.Outcome;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DaemonMetricsTest {
    private static final int HISTOGRAMS_PER_SET = 3;

    private final AtomicLong nowNanos = new AtomicLong();
    private final DaemonMetrics metrics = new DaemonMetrics(new MetricRegistry(), nowNanos::get);

    private void endTask(String team, long waitMillis, long serviceMillis) {
        metrics.taskEnded(
                new TeamId(team),
                UrgencyClass.URGENT,
                new ServerId("s1"),
                Outcome.DONE,
                TimeUnit.MILLISECONDS.toNanos(waitMillis),
                TimeUnit.MILLISECONDS.toNanos(serviceMillis));
    }

    private DaemonMetrics.Quantiles histogram(String name) {
        return metrics.report().histograms().get(name);
    }

    @Nested
    class Units {
        /** Guards against reporting values in a unit other than that of the unit field. */
        @Test
        void areMilliseconds() {
            for (int i = 1; i <= 100; i++) {
                endTask("red", i, 200);
            }
            assertThat(metrics.report().unit()).isEqualTo("ms");
            assertThat(histogram("team.red.waiting").p50()).isBetween(49.0, 51.0);
            assertThat(histogram("class.urgent.service").p99()).isBetween(198.0, 202.0);
        }

        /** Guards against an exception on the dispatch thread for a duration outside the histogram range. */
        @Test
        void outOfRangeDurationsAreClamped() {
            endTask("red", -5, TimeUnit.DAYS.toMillis(1));
            assertThat(histogram("team.red.service").max()).isBetween(594_000.0, 606_000.0);
        }
    }

    @Nested
    class Window {
        /** Guards against quantiles that include values older than the window. */
        @Test
        void dropsOldValues() {
            endTask("red", 500, 500);
            nowNanos.addAndGet(RollingWindowReservoir.WINDOW_NANOS);
            endTask("red", 1, 1);
            assertThat(histogram("team.red.waiting").windowCount()).isEqualTo(2);
            nowNanos.addAndGet(RollingWindowReservoir.WINDOW_NANOS);
            assertThat(histogram("team.red.waiting").windowCount()).isEqualTo(1);
            nowNanos.addAndGet(2 * RollingWindowReservoir.WINDOW_NANOS);
            assertThat(histogram("team.red.waiting").windowCount()).isZero();
            assertThat(histogram("team.red.waiting").count()).isEqualTo(2);
        }
    }

    @Nested
    class Bounds {
        /** Guards against memory that grows with every team that has ever been configured. */
        @Test
        void teamsBeyondTheLimitShareOneSet() {
            for (int i = 0; i < DaemonMetrics.MAX_TEAMS + 50; i++) {
                endTask("team" + i, 1, 1);
            }
            int sets = UrgencyClass.values().length + DaemonMetrics.MAX_TEAMS + 1;
            assertThat(metrics.report().histograms()).hasSize(sets * HISTOGRAMS_PER_SET);
            assertThat(histogram(DaemonMetrics.OTHER_TEAMS + ".waiting").count())
                    .isEqualTo(50);
        }

        /** Guards against exceeding the memory per window that is documented in {@link DaemonMetrics}. */
        @Test
        void oneWindowNeedsAtMostNineKilobytes() {
            RollingWindowReservoir reservoir = new RollingWindowReservoir(nowNanos::get);
            reservoir.update(RollingWindowReservoir.MAX_UNITS);
            nowNanos.addAndGet(RollingWindowReservoir.WINDOW_NANOS);
            reservoir.update(RollingWindowReservoir.MAX_UNITS);
            assertThat(reservoir.footprintBytes()).isLessThanOrEqualTo(2 * 9 * 1_024);
        }
    }

    @Nested
    class Counters {
        /** Guards against error responses and refusals that are not counted. */
        @Test
        void countEachErrorKind() {
            metrics.countErrorResponse(ErrorKind.OVERLOADED);
            metrics.requestRefused(new TeamId("red"), ErrorKind.QUOTA_EXCEEDED);
            assertThat(metrics.report().counters())
                    .containsEntry("http.errors.OVERLOADED", 1L)
                    .containsEntry("jobs.refused.QUOTA_EXCEEDED", 1L);
        }
    }
}
