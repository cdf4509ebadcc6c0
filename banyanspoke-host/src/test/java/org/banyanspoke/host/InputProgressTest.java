package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against input that is taken for read after the process was suspended. */
class InputProgressTest {
    private long nowMillis = 10_000;
    private final InputProgress input = new InputProgress(this::nanos, this::nanos);

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void pass(long millis) {
        long startNanos = nanos();
        long startMillis = nowMillis;
        nowMillis += millis;
        input.recordPass(startNanos, startMillis);
    }

    @Test
    void anIdleEventLoopIsNotBehind() {
        for (int i = 0; i < 10; i++) {
            pass(60);
            assertThat(input.isBehind()).isFalse();
            assertThat(input.isCatchingUp()).isFalse();
        }
    }

    @Nested
    class AfterASuspension {
        @BeforeEach
        void suspendWhileWaitingForInput() {
            pass(20);
            pass(20);
            pass(2_400);
        }

        @Test
        void theTimersOfTheInterruptedPassSeeUnreadInput() {
            assertThat(input.behindMillis()).isEqualTo(2_420);
            assertThat(TimeUnit.NANOSECONDS.toMillis(input.readUntilNanos())).isEqualTo(nowMillis - 2_420);
        }

        /** Data is read in the first pass; that its connection was closed behind it is detected in the second. */
        @Test
        void inputIsReadAfterTwoPasses() {
            pass(1);
            assertThat(input.isBehind()).isTrue();
            pass(1);
            assertThat(input.isBehind()).isFalse();
        }

        @Test
        void connectionsThatWaitedToBeAcceptedAreReadLater() {
            pass(1);
            pass(1);
            assertThat(input.isCatchingUp()).isTrue();
            for (int i = 0; i < 10; i++) {
                pass(60);
            }
            assertThat(input.isCatchingUp()).isFalse();
        }
    }

    @Test
    void anActionRunsAfterTwoPassesThatStartedLater() {
        List<Long> runs = new ArrayList<>();
        pass(20);
        input.afterReading(() -> runs.add(nowMillis));
        pass(1);
        assertThat(runs).isEmpty();
        pass(1);
        assertThat(runs).hasSize(1);
        pass(1);
        assertThat(runs).hasSize(1);
    }
}
