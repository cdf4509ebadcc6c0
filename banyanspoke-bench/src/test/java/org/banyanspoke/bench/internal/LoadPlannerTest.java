package org.banyanspoke.bench.internal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.List;
import org.banyanspoke.bench.Scenario;
import org.banyanspoke.bench.Scenarios;
import org.banyanspoke.bench.Shape;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadPlannerTest {
    private static List<PlannedJob> plan(Scenario scenario, long seed, double seconds) {
        return new LoadPlanner(scenario, seed, 1, seconds).plan(200);
    }

    private static Scenario scenario(String name) {
        return Scenarios.all(Shape.DAUGAVA).get(name);
    }

    private static double workMillis(List<PlannedJob> jobs) {
        return jobs.stream()
                .flatMapToDouble(job -> Arrays.stream(job.runMillis()))
                .sum();
    }

    @Nested
    class Arrivals {
        /** Guards against runs that are not reproducible. */
        @Test
        void dependOnTheSeedOnly() {
            assertThat(plan(scenario("steady80"), 1, 5))
                    .usingRecursiveComparison()
                    .isEqualTo(plan(scenario("steady80"), 1, 5));
            assertThat(plan(scenario("steady80"), 2, 5).get(0).arrivalNanos())
                    .isNotEqualTo(plan(scenario("steady80"), 1, 5).get(0).arrivalNanos());
        }

        /** Guards against a reference run whose load differs from that of the run with the flood. */
        @Test
        void areTheSameWithoutTheFlood() {
            List<Long> with = plan(scenario("flood-low"), 3, 5).stream()
                    .filter(job -> !job.load().flood())
                    .map(PlannedJob::arrivalNanos)
                    .toList();
            List<Long> without = plan(scenario("flood-low").withoutFlood(), 3, 5).stream()
                    .map(PlannedJob::arrivalNanos)
                    .toList();
            assertThat(with).isEqualTo(without).isNotEmpty();
        }

        /** Guards against a deviation from the nominal load of the scenario: 80% of 200 tasks/s for 401 s. */
        @Test
        void haveTheOfferedLoad() {
            double capacityMillis = 401 * 200 * LoadPlanner.meanRunMillis();
            assertThat(workMillis(plan(scenario("steady80"), 4, 400)) / capacityMillis)
                    .isCloseTo(0.8, within(0.04));
        }
    }

    @Nested
    class Tasks {
        /** Guards against missing stragglers and stragglers with a correctly declared run time. */
        @Test
        void exceedDeclaredRunTimesInStragglers() {
            assertThat(plan(scenario("stragglers"), 6, 20))
                    .anyMatch(job -> Math.abs(job.runMillis()[0] / job.declaredMillis()[0] - 10) < 0.2);
            assertThat(plan(scenario("steady80"), 6, 20))
                    .allMatch(job -> Math.abs(job.runMillis()[0] / job.declaredMillis()[0] - 1) < 0.02);
        }

        /** Guards against exact declared run times in a scenario that specifies a declaration error. */
        @Test
        void haveInaccurateDeclaredRunTimesInUnequal80() {
            double largest = plan(scenario("unequal80"), 5, 20).stream()
                    .mapToDouble(job -> job.declaredMillis()[0] / job.runMillis()[0])
                    .max()
                    .orElseThrow();
            assertThat(largest).isBetween(8.0, 10.2);
        }
    }
}
