package org.banyanspoke.core.pool.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.banyanspoke.api.ids.ServerId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against renewals that overlap, that never come, or that many idle servers get at the same time. */
class RenewalScheduleTest {
    private static final long NOW_MILLIS = 50_000;

    private final RenewalSchedule schedule = new RenewalSchedule(new ServerId("s1"));

    @Nested
    class ARenewalInProgress {
        @Test
        void keepsTheNextOneWaiting() {
            schedule.begin(NOW_MILLIS);
            schedule.scheduleAt(NOW_MILLIS);
            assertThat(schedule.isDue(NOW_MILLIS)).isFalse();
            schedule.end();
            assertThat(schedule.isDue(NOW_MILLIS)).isTrue();
        }

        @Test
        void hasALowerNumberThanTheNextOne() {
            long number = schedule.begin(NOW_MILLIS);
            assertThat(schedule.nextNumber()).isEqualTo(number + 1);
        }
    }

    @Nested
    class IdleServers {
        private long periodMillis(RenewalSchedule idle) {
            idle.begin(NOW_MILLIS);
            idle.end();
            idle.scheduleForIdleServer();
            long periodMillis = 0;
            while (!idle.isDue(NOW_MILLIS + periodMillis)) {
                assertThat(idle.isDueForIdleServer(NOW_MILLIS + periodMillis)).isFalse();
                periodMillis++;
            }
            assertThat(idle.isDueForIdleServer(NOW_MILLIS + periodMillis)).isTrue();
            return periodMillis;
        }

        @Test
        void getRenewalsAtDifferentTimes() {
            Set<Long> periods = new HashSet<>();
            for (int i = 0; i < 100; i++) {
                periods.add(periodMillis(new RenewalSchedule(new ServerId("server-" + i))));
            }
            assertThat(periods).hasSizeGreaterThan(50).allMatch(millis -> millis > 6_000 && millis <= 10_000);
        }
    }
}
