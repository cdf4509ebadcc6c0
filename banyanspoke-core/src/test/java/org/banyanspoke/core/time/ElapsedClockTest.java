package org.banyanspoke.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a suspension of the machine that no clock shows, and against a clock that runs too fast. */
class ElapsedClockTest {
    private long monotonicMillis = 7_000;
    private long wallMillis = 1_800_000_000_000L;
    private final ElapsedClock clock = new ElapsedClock(
            () -> TimeUnit.MILLISECONDS.toNanos(monotonicMillis), () -> wallMillis, TimeUnit.SECONDS.toNanos(100));

    private void advance(long millis) {
        monotonicMillis += millis;
        wallMillis += millis;
    }

    @Test
    void startsAtItsOrigin() {
        assertThat(clock.millis()).isEqualTo(100_000);
        advance(250);
        assertThat(clock.millis()).isEqualTo(100_250);
    }

    @Test
    void countsASuspensionOfTheMachine() {
        wallMillis += 3_000;
        assertThat(clock.millis()).isEqualTo(103_000);
        advance(10);
        assertThat(clock.millis()).isEqualTo(103_010);
    }

    @Test
    void neverGoesBack() {
        advance(100);
        clock.millis();
        wallMillis -= 60_000;
        assertThat(clock.millis()).isEqualTo(100_100);
        advance(100);
        assertThat(clock.millis()).isEqualTo(100_200);
    }

    @Test
    void countsASuspensionAfterTheWallClockWasSetBack() {
        wallMillis -= 60_000;
        clock.millis();
        wallMillis += 2_000;
        assertThat(clock.millis()).isEqualTo(102_000);
    }

    /** The wall clock has a coarser resolution, so it gains and loses a millisecond all the time. */
    @Test
    void doesNotAddUpTheResolutionOfTheWallClock() {
        for (int i = 0; i < 1_000; i++) {
            monotonicMillis += 1;
            clock.millis();
            wallMillis += 1;
            clock.millis();
        }
        assertThat(clock.millis()).isEqualTo(101_000);
    }
}
