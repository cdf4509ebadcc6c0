package org.banyanspoke.daemon.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ByteRateLimiterTest {
    private static final long POLL_MILLIS = 500;
    private static final int POLLS_PER_HOUR = 7_200;
    private static final long BYTES_PER_SECOND = 900;
    private static final long BURST_BYTES = 128 * 1024;
    private static final long UNCHANGED_LIST_BYTES = 300;
    private static final long FULL_LIST_BYTES = 42_300;

    private long nowMillis = -1_000;
    private final ByteRateLimiter rateLimiter =
            new ByteRateLimiter(BYTES_PER_SECOND, BURST_BYTES, () -> nowMillis * 1_000_000);

    /** Polls for one hour and returns the number of bytes read. */
    private long poll(long bytes) {
        long total = 0;
        for (int i = 0; i < POLLS_PER_HOUR; i++) {
            if (rateLimiter.hasBudget()) {
                rateLimiter.recordTransfer(bytes);
                total += bytes;
            }
            nowMillis += POLL_MILLIS;
        }
        return total;
    }

    /** Guards against fetching the full list at every poll, which costs 85 KB/s at the design size. */
    @Test
    void fullListsAreReadNoMoreOftenThanTheRateAllows() {
        assertThat(poll(FULL_LIST_BYTES))
                .isBetween(BYTES_PER_SECOND * 3_600, BYTES_PER_SECOND * 3_600 + BURST_BYTES + FULL_LIST_BYTES);
    }

    /** Guards against delaying reads of an unchanged list, or of one that changes after an idle period. */
    @Test
    void unchangedListsAndSomeChangesAreReadAtEveryPoll() {
        assertThat(poll(UNCHANGED_LIST_BYTES)).isEqualTo(POLLS_PER_HOUR * UNCHANGED_LIST_BYTES);
        for (int i = 0; i < 3; i++) {
            assertThat(rateLimiter.hasBudget()).isTrue();
            rateLimiter.recordTransfer(FULL_LIST_BYTES);
        }
    }

    /** Guards against a pause or an idle period that accumulates more than the burst. */
    @Test
    void idleTimeAccumulatesNoMoreThanTheBurst() {
        nowMillis += 86_400_000;
        assertThat(rateLimiter.hasBudget()).isTrue();
        rateLimiter.recordTransfer(BURST_BYTES);
        assertThat(rateLimiter.hasBudget()).isFalse();
    }
}
