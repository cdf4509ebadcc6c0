package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against equal tokens of two owners and against tokens that decrease with the wall clock. */
class FencingTokensTest {
    private final AtomicLong clockMillis = new AtomicLong(1_800_000_000_000L);

    private FencingTokens tokens(long registration) {
        FencingTokens tokens = new FencingTokens(clockMillis::get);
        tokens.register(registration);
        return tokens;
    }

    @Test
    void twoProcessesNeverHaveTheSameToken() {
        FencingTokens one = tokens(1);
        FencingTokens two = tokens(2);
        assertThat(one.claim(0)).isEqualTo(two.claim(0));
        assertThat(one.current()).isNotEqualTo(two.current());
    }

    @Test
    void tokensIncreaseWhenTheClockGoesBack() {
        FencingTokens tokens = tokens(1);
        tokens.claim(0);
        long before = tokens.current();
        clockMillis.addAndGet(-5_000);
        assertThat(tokens.next()).isGreaterThan(before);
    }

    @Test
    void aClaimIsHigherThanTheHighestKnownRound() {
        FencingTokens other = tokens(1);
        clockMillis.addAndGet(60_000);
        long round = other.claim(0);
        clockMillis.addAndGet(-60_000);
        assertThat(tokens(2).claim(round)).isGreaterThan(round);
    }

    @Test
    void tokensAreExactInJson() {
        clockMillis.set(4_000_000_000_000L);
        FencingTokens tokens = tokens((1L << 18) - 1);
        tokens.claim(0);
        assertThat(tokens.current()).isLessThan(1L << 56);
        clockMillis.set(1_850_000_000_000L);
        FencingTokens today = tokens(1);
        today.claim(0);
        assertThat(today.current()).isLessThan(1L << 53);
    }
}
