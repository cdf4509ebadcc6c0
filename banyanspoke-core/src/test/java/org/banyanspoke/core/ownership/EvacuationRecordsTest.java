package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a return to an older state of a zone, and against jobs that wait though no zone can serve them. */
class EvacuationRecordsTest {
    private static final ZoneId A = new ZoneId("a");
    private static final ZoneId B = new ZoneId("b");

    private final EvacuationRecords records = new EvacuationRecords();

    @Test
    void theNewestRecordOfEachZoneApplies() {
        assertThat(records.apply(A, 3, true)).isTrue();
        assertThat(records.apply(A, 4, false)).isTrue();
        assertThat(records.apply(B, 5, true)).isTrue();
        assertThat(records.apply(A, 6, true)).isTrue();
        assertThat(records.apply(A, 7, false)).isTrue();
        assertThat(records.isRequested(A)).isFalse();
        assertThat(records.isRequested(B)).isTrue();
    }

    @Test
    void aRepeatedRecordChangesNothing() {
        records.apply(A, 3, true);
        assertThat(records.apply(A, 3, true)).isFalse();
        assertThat(records.apply(A, 9, true)).isFalse();
        assertThat(records.isRequested(A)).isTrue();
    }

    /** The log is read from the end of the first page of a list, so records older than the list's may follow it. */
    @Test
    void anOlderRecordIsIgnored() {
        records.apply(A, 8, false);
        assertThat(records.apply(A, 7, true)).isFalse();
        assertThat(records.isRequested(A)).isFalse();
    }

    @Test
    void aListWithoutTheZoneWithdrawsItsEvacuation() {
        records.apply(A, 3, true);
        records.apply(B, 4, true);
        assertThat(records.withdrawAllExcept(Set.of(B))).containsExactly(A);
        assertThat(records.isRequested(A)).isFalse();
        assertThat(records.isRequested(B)).isTrue();
    }

    /** A request in a log that has been set up anew has a lower offset than those of the previous log. */
    @Test
    void recordsOfANewLogAreNotTakenForOlderOnes() {
        records.apply(A, 50, false);
        records.forgetOffsets();
        assertThat(records.apply(A, 3, true)).isTrue();
    }

    @Nested
    class Dispatchers {
        private static HostState host(ZoneId zone, long round) {
            return new HostState(new HostId("h-" + zone), zone, 1, 1_000, false, round, Set.of(), PoolLoad.NONE);
        }

        @Test
        void areAllCoveredIfEachZoneIsEvacuated() {
            records.apply(A, 3, true);
            assertThat(records.coverAllDispatchers(List.of(host(A, 1), host(B, 1))))
                    .isFalse();
            assertThat(records.coverAllDispatchers(List.of(host(A, 1), host(B, 0))))
                    .isTrue();
            records.apply(B, 4, true);
            assertThat(records.coverAllDispatchers(List.of(host(A, 1), host(B, 1))))
                    .isTrue();
        }

        /** Jobs wait for a dispatcher that is about to take over. */
        @Test
        void areNotCoveredIfThereAreNone() {
            records.apply(A, 3, true);
            assertThat(records.coverAllDispatchers(List.of(host(A, 0)))).isFalse();
        }
    }
}
