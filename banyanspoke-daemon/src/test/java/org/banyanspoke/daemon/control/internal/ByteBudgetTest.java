package org.banyanspoke.daemon.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {
    private static final long POLL_MILLIS = 500;
    private static final int POLLS_PER_HOUR = 7_200;
    private static final long RATE = 900;
    private static final long BURST = 128 * 1024;
    private static final long UNCHANGED_BYTES = 300;
    private static final long WHOLE_LIST_BYTES = 42_300;

    private long nowMillis = -1_000;
    private final ByteBudget budget = new ByteBudget(RATE, BURST, () -> nowMillis * 1_000_000);

    /** Polls for an hour and returns the bytes that were read. */
    private long poll(long bytes) {
        long total = 0;
        for (int i = 0; i < POLLS_PER_HOUR; i++) {
            if (budget.isPositive()) {
                budget.spend(bytes);
                total += bytes;
            }
            nowMillis += POLL_MILLIS;
        }
        return total;
    }

    /** Guards against a reader that fetches whole lists at the poll interval: 85 KB/s at the design size. */
    @Test
    void wholeListsAreReadNoMoreOftenThanTheRateAllows() {
        assertThat(poll(WHOLE_LIST_BYTES)).isBetween(RATE * 3_600, RATE * 3_600 + BURST + WHOLE_LIST_BYTES);
    }

    /** Guards against a budget that delays the reads of an unchanged list, or that of one that changed after a quiet time. */
    @Test
    void unchangedListsAndSomeChangesAreReadAtEveryPoll() {
        assertThat(poll(UNCHANGED_BYTES)).isEqualTo(POLLS_PER_HOUR * UNCHANGED_BYTES);
        for (int i = 0; i < 3; i++) {
            assertThat(budget.isPositive()).isTrue();
            budget.spend(WHOLE_LIST_BYTES);
        }
    }

    /** Guards against a pause or an idle time that saves up more than the burst. */
    @Test
    void idleTimeSavesUpNoMoreThanTheBurst() {
        nowMillis += 86_400_000;
        assertThat(budget.isPositive()).isTrue();
        budget.spend(BURST);
        assertThat(budget.isPositive()).isFalse();
    }
}
