package org.banyanspoke.host.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a soak test that misses late starts. */
class EvacuationJudgeTest {
    private long nowMillis = 10_000;
    private final EvacuationJudge judge = new EvacuationJudge(() -> nowMillis);

    private void requestAndStartAfter(long millis) {
        judge.requested("a");
        nowMillis += millis;
        judge.started("a", "task");
    }

    @Test
    void rejectsALateStart() {
        requestAndStartAfter(5_001);
        assertThat(judge.violations()).hasSize(1);
    }

    @Test
    void acceptsAStartWithinTheBound() {
        requestAndStartAfter(5_000);
        assertThat(judge.violations()).isEmpty();
        assertThat(judge.longestDelayMillis()).isEqualTo(5_000);
    }

    @Test
    void acceptsStartsInOtherZonesAndAfterTheWithdrawal() {
        requestAndStartAfter(100);
        nowMillis += 10_000;
        judge.started("b", "task");
        judge.withdrawing("a");
        judge.started("a", "task");
        assertThat(judge.violations()).isEmpty();
    }

    @Test
    void aRepeatedRequestDoesNotExtendTheBound() {
        judge.requested("a");
        nowMillis += 3_000;
        requestAndStartAfter(2_001);
        assertThat(judge.violations()).hasSize(1);
    }

    @Test
    void doesNotCountTheTimeWithoutTheStore() {
        judge.recordOutage("a", nowMillis + 1_000, nowMillis + 2_000);
        judge.recordOutage("b", nowMillis, nowMillis + 60_000);
        requestAndStartAfter(8_500);
        assertThat(judge.violations()).isEmpty();
        nowMillis++;
        judge.started("a", "task");
        assertThat(judge.violations()).hasSize(1);
    }
}
