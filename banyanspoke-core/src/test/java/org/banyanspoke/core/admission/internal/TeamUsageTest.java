package org.banyanspoke.core.admission.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.core.quota.QuotaShares.Share;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TeamUsageTest {
    private static final TeamId TEAM = new TeamId("team");

    private long nanos;
    private final TeamUsageTracker tracker = new TeamUsageTracker(() -> nanos);

    private TeamUsage usage(Share share) {
        tracker.setShares(new QuotaShares(Map.of(TEAM, share)));
        return tracker.team(TEAM);
    }

    private int startAll(TeamUsage usage) {
        int started = 0;
        while (usage.mayStart(nanos)) {
            usage.onWaiting(1);
            usage.onSent();
            started++;
        }
        return started;
    }

    private void checkRate(int rate, List<Integer> pausesMillis) {
        TeamUsage usage = usage(new Share(rate, 1, Long.MAX_VALUE, rate));
        long started = startAll(usage);
        for (int pause : pausesMillis) {
            nanos += TimeUnit.MILLISECONDS.toNanos(pause);
            started += startAll(usage);
        }
        assertThat((double) started).isLessThanOrEqualTo(rate * (nanos / 1e9 + 1) + 0.001);
    }

    @Group
    @Nested
    class Starts {
        /** Guards against more starts than the rate allows, at any sequence of attempts. */
        @Property(tries = 200, seed = "1")
        void rateIsNotExceeded(
                @ForAll @IntRange(min = 1, max = 500) int rate,
                @ForAll @Size(max = 100) List<@IntRange(max = 300) Integer> pausesMillis) {
            new TeamUsageTest().checkRate(rate, pausesMillis);
        }

        /** Guards against starts on an expired loan, even if there was no call between expiry and start. */
        @Test
        void loanExpires() {
            TeamUsage usage = usage(new Share(100, 1, TimeUnit.SECONDS.toNanos(5), 10));
            nanos = TimeUnit.SECONDS.toNanos(60);
            assertThat(startAll(usage)).isEqualTo(10);
            assertThat(usage.startsPerSecondLimit(nanos)).isEqualTo(10);
        }

        /** Guards against starts by a team without a share. */
        @Test
        void teamWithoutShareStartsNothing() {
            TeamUsage usage = usage(new Share(100, 1, Long.MAX_VALUE, 100));
            tracker.setShares(new QuotaShares(Map.of()));
            nanos = TimeUnit.SECONDS.toNanos(60);
            assertThat(startAll(usage)).isZero();
            assertThat(startAll(tracker.team(new TeamId("unknown")))).isZero();
        }
    }

    @Nested
    class Demand {
        /** Guards against missing demand for loans while the quota delays or refuses tasks. */
        @Test
        void throttledAndRefusedTasksCountAsDemand() {
            TeamUsage usage = usage(new Share(10, 100, Long.MAX_VALUE, 10));
            usage.onWaiting(30);
            for (int i = 0; i < 10; i++) {
                usage.onSent();
            }
            usage.onRefused(5);
            nanos = TimeUnit.SECONDS.toNanos(1);
            startAll(usage);
            nanos += TimeUnit.MILLISECONDS.toNanos(50);
            assertThat(usage.demand(nanos).startsPerSecond()).isBetween(18.0, 20.0);
            assertThat(usage.demand(nanos).demandedStartsPerSecond()).isBetween(42.0, 45.0);
            assertThat(usage.demand(nanos).tasksInFlight()).isEqualTo(40);
        }

        /**
         * Guards against missing demand for a refused job, and against demand for a job admitted later or abandoned.
         */
        @Test
        void refusedJobCountsAsDemandUntilAdmittedOrExpired() {
            TeamUsage usage = usage(new Share(10, 100, Long.MAX_VALUE, 10));
            usage.onRefused(1_100);
            usage.onRefused(50);
            assertThat(usage.demand(nanos).demandedTasksInFlight()).isEqualTo(1_100);
            usage.onWaiting(1_100);
            assertThat(usage.demand(nanos).demandedTasksInFlight()).isEqualTo(1_100);
            usage.onRefused(70);
            for (int second = 0; second < 7; second++) {
                nanos += TimeUnit.SECONDS.toNanos(1);
                usage.rollInterval(nanos);
            }
            assertThat(usage.demand(nanos).demandedTasksInFlight()).isEqualTo(1_100);
        }

        /** Guards against admission on an expired loan, even if there was no call between expiry and admission. */
        @Test
        void borrowedTasksInFlightExpire() {
            TeamUsage usage = usage(new Share(10, 100, TimeUnit.SECONDS.toNanos(5), 10, 20));
            assertThat(usage.maxInFlight(TimeUnit.SECONDS.toNanos(4))).isEqualTo(100);
            assertThat(usage.maxInFlight(TimeUnit.SECONDS.toNanos(6))).isEqualTo(20);
        }
    }
}
