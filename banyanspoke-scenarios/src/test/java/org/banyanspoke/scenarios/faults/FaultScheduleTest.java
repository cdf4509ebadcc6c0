package org.banyanspoke.scenarios.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.banyanspoke.scenarios.faults.FaultKind.Target;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FaultScheduleTest {
    private static List<PlannedFault> draw(long seed, long runMillis) {
        return FaultSchedule.draw(seed, runMillis, 4, 3, 8);
    }

    @Nested
    class Seed {
        /** Guards against a red run that cannot be repeated by its seed. */
        @Test
        void decidesTheSchedule() {
            assertThat(draw(5, 60_000)).isEqualTo(draw(5, 60_000)).isNotEqualTo(draw(6, 60_000));
        }

        /** Guards against a longer run that does not contain the faults of the shorter one. */
        @Test
        void decidesTheSameFaultsInALongerRun() {
            assertThat(draw(5, 60_000)).containsAll(draw(5, 30_000));
        }
    }

    @Nested
    class Draw {
        /** Guards against kinds that never come up. */
        @Test
        void hasEveryKindInTwoMinutes() {
            assertThat(draw(1, 120_000).stream().map(PlannedFault::kind).collect(Collectors.toSet()))
                    .containsExactlyInAnyOrder(FaultKind.values());
        }

        /** Guards against runs in which every fault is alone. */
        @Test
        void overlapsFaultsOfDifferentKindsInAMinute() {
            List<PlannedFault> faults = draw(1, 60_000);
            assertThat(faults)
                    .anyMatch(one ->
                            faults.stream().anyMatch(other -> one.kind() != other.kind() && one.overlaps(other)));
        }

        /** Guards against a fault that heals another one, as opening the links of a zone would a cut host of it. */
        @Test
        void neverHasTwoFaultsOfOneObjectAtATime() {
            LongStream.range(0, 200).forEach(seed -> {
                List<PlannedFault> faults = draw(seed, 60_000);
                assertThat(faults).doesNotHaveDuplicates();
                faults.stream()
                        .filter(one -> one.kind().target() != Target.LOAD)
                        .forEach(one -> assertThat(faults)
                                .filteredOn(other -> !other.equals(one)
                                        && other.kind().target() == one.kind().target()
                                        && (one.kind().target() == Target.LOG
                                                || one.kind().target() == Target.LINK
                                                || other.index() == one.index())
                                        && other.overlaps(one))
                                .isEmpty());
            });
        }
    }
}
