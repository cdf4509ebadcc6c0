package org.banyanspoke.core.pool.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against deadlines that a server reaches later than intended, because its clock is slow or has restarted. */
class ServerClockTest {
    private long nowMillis = 5_000;
    private final ServerClock clock = new ServerClock(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

    @Nested
    class AnOldReading {
        @Test
        void isNotAboveTheSlowestClock() {
            clock.record(1_000);
            nowMillis += 100_000;
            assertThat(clock.lowerBoundMillis()).isEqualTo(1_000 + 98_000);
        }

        @Test
        void isReplacedByTheNextOne() {
            clock.record(1_000);
            nowMillis += 100_000;
            clock.record(100_500);
            assertThat(clock.lowerBoundMillis()).isEqualTo(100_500);
        }

        @Test
        void staysIfAReplyHasNone() {
            clock.record(1_000);
            nowMillis += 1_000;
            clock.record(0);
            assertThat(clock.lowerBoundMillis()).isEqualTo(1_980);
        }

        @Test
        void meansNothingAfterARestart() {
            clock.record(90_000);
            clock.reset();
            nowMillis += 1_000;
            assertThat(clock.lowerBoundMillis()).isLessThanOrEqualTo(1_000);
        }
    }
}
