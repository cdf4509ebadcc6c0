package org.banyanspoke.core.pool.internal;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against last attempts on servers that fail tasks, and against servers that stay suspect after a success. */
class LastAttemptTest {
    private final ServerCircuitBreaker breaker = new ServerCircuitBreaker();

    private boolean isSuspect(boolean othersSucceeded) {
        return LastAttempt.isSuspect(breaker, othersSucceeded);
    }

    @Test
    void aServerIsSuspectAfterAFailureUntilItsNextSuccess() {
        breaker.recordSuccess();
        breaker.recordFailure(0);
        assertThat(isSuspect(true)).isTrue();
        breaker.recordSuccess();
        assertThat(isSuspect(true)).isFalse();
    }

    @Test
    void aServerIsSuspectAfterItsPauseHasEnded() {
        breaker.recordSuccess();
        breaker.recordFailure(0);
        breaker.recordFailure(0);
        assertThat(breaker.allows(60_000, 0)).isTrue();
        assertThat(isSuspect(true)).isTrue();
    }

    /** Guards against trust in a server that fails half of its tasks, whose failures are reset by every success. */
    @Test
    void aServerIsSuspectForLongerIfItsTaskCompletedElsewhere() {
        breaker.recordSuccess();
        breaker.recordFailure(0);
        breaker.recordBlame();
        breaker.recordSuccess();
        assertThat(isSuspect(true)).isTrue();
        for (int i = 0; i < 4; i++) {
            breaker.recordSuccess();
        }
        assertThat(isSuspect(true)).isFalse();
    }

    @Test
    void aServerWithoutASuccessIsSuspectOnlyIfOthersHaveHadOne() {
        assertThat(isSuspect(true)).isTrue();
        assertThat(isSuspect(false)).isFalse();
    }

    @Test
    void aSuccessBeforeTheLastClaimDoesNotCount() {
        breaker.recordSuccess();
        breaker.recordClaim();
        assertThat(isSuspect(true)).isTrue();
    }
}
