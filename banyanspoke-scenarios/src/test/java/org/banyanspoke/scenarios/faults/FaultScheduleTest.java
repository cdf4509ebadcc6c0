package org.banyanspoke.scenarios.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.banyanspoke.scenarios.faults.FaultKind.Target;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FaultScheduleTest {
    private static List<PlannedFault> generate(long seed, long runMillis) {
        return FaultSchedule.generate(seed, runMillis, 4, 3, 8);
    }

    @Nested
    class Seed {
        /** Guards against a failed run that cannot be reproduced from its seed. */
        @Test
        void determinesTheSchedule() {
            assertThat(generate(5, 60_000)).isEqualTo(generate(5, 60_000)).isNotEqualTo(generate(6, 60_000));
        }

        /** Guards against a longer run that omits faults of a shorter run with the same seed. */
        @Test
        void determinesTheSameFaultsInALongerRun() {
            assertThat(generate(5, 60_000)).containsAll(generate(5, 30_000));
        }
    }

    @Nested
    class Generation {
        /** Guards against kinds that are never generated. */
        @Test
        void includesEveryKindWithinTwoMinutes() {
            assertThat(generate(1, 120_000).stream().map(PlannedFault::kind).collect(Collectors.toSet()))
                    .containsExactlyInAnyOrder(FaultKind.values());
        }

        /** Guards against schedules without overlapping faults. */
        @Test
        void overlapsFaultsOfDifferentKindsWithinAMinute() {
            List<PlannedFault> faults = generate(1, 60_000);
            assertThat(faults)
                    .anyMatch(one ->
                            faults.stream().anyMatch(other -> one.kind() != other.kind() && one.overlaps(other)));
        }

        /** Guards against a fault that heals another: opening a zone's links would reconnect a cut host in it. */
        @Test
        void neverOverlapsFaultsOfTheSameTarget() {
            LongStream.range(0, 200).forEach(seed -> {
                List<PlannedFault> faults = generate(seed, 60_000);
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
