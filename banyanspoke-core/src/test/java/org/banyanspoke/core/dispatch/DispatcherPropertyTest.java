package org.banyanspoke.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.banyanspoke.core.dispatch.DispatcherDriver.Kind;
import org.banyanspoke.core.dispatch.DispatcherDriver.Step;
import org.banyanspoke.core.dispatch.DispatcherFixture.Policy;
import org.banyanspoke.core.dispatch.History.Violation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class DispatcherPropertyTest {
    /** Guards against duplicate starts, lost or partial answers and wrong refusals in any order of events. */
    @Property(tries = 1_500, seed = "1")
    void historyIsCorrect(@ForAll Policy policy, @ForAll("steps") List<Step> steps) throws Exception {
        assertThat(new DispatcherDriver(policy, Fault.NONE).run(steps)).isEmpty();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.frequency(
                Tuple.of(8, Kind.SUBMIT),
                Tuple.of(3, Kind.RESUBMIT),
                Tuple.of(1, Kind.CONFLICT),
                Tuple.of(2, Kind.CANCEL),
                Tuple.of(12, Kind.ANSWER),
                Tuple.of(8, Kind.ANSWER_MANY),
                Tuple.of(6, Kind.ADVANCE),
                Tuple.of(1, Kind.PAUSE),
                Tuple.of(1, Kind.CONTRACT),
                Tuple.of(2, Kind.LEAVE),
                Tuple.of(1, Kind.QUOTA),
                Tuple.of(1, Kind.GENERATION));
        Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 9_999);
        return Combinators.combine(kinds, numbers).as(Step::new).list().ofMaxSize(120);
    }

    /**
     * Guards against checks that never fail: each injected fault must be detected as the violation that it causes.
     */
    @ParameterizedTest
    @CsvSource({
        "SENDS_TWICE, STARTED_TWICE",
        "MOVES_UNKNOWN, STARTED_TWICE",
        "NEVER_STOPS, NOT_STOPPED",
        "DROPS_LATE_RESULTS, LEAKED",
        "STARTS_REFUSED, REFUSED_AND_STARTED",
        "LOSES_ANSWER, NOT_ONE_ANSWER",
        "REPEATS_ANSWER, NOT_ONE_ANSWER",
        "LOSES_RESULT, INCOMPLETE_ANSWER",
        "IGNORES_LEAVING, STARTED_ON_LEAVING_SERVER",
        "IGNORES_CONTRACT, STARTED_LATE",
        "IGNORES_END, STARTED_AFTER_END",
        "FORGETS_WRITTEN, FALSE_NOT_RUN",
        "MIXES_ANSWERS, DIFFERENT_ANSWERS"
    })
    void checkDetects(Fault fault, Violation expected) throws Exception {
        Set<Violation> found = EnumSet.noneOf(Violation.class);
        for (long seed = 1; seed <= 20; seed++) {
            found.addAll(new DispatcherDriver(Policy.BASELINE, fault).run(randomSteps(seed)));
        }
        assertThat(found).contains(expected);
    }

    /** Guards against false positives of the checks, on the same random steps as {@link #checkDetects}. */
    @ParameterizedTest
    @EnumSource(Policy.class)
    void checksPassWithoutFault(Policy policy) throws Exception {
        for (long seed = 1; seed <= 20; seed++) {
            assertThat(new DispatcherDriver(policy, Fault.NONE).run(randomSteps(seed)))
                    .isEmpty();
        }
    }

    private static List<Step> randomSteps(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        Kind[] kinds = Kind.values();
        return IntStream.range(0, 500)
                .mapToObj(i -> new Step(kinds[random.nextInt(kinds.length)], random.nextInt(10_000)))
                .toList();
    }
}
