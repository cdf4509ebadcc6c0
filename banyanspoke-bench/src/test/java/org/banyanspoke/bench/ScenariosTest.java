package org.banyanspoke.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;
import org.banyanspoke.bench.internal.RatioPlot;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ScenariosTest {
    @Nested
    class Names {
        /** Guards against a scenario that is not defined for every shape. */
        @ParameterizedTest
        @EnumSource(Shape.class)
        void areTheSameForEveryShape(Shape shape) {
            assertThat(Scenarios.all(shape))
                    .containsOnlyKeys(
                            "steady50",
                            "steady80",
                            "steady95",
                            "unequal80",
                            "stragglers",
                            "failing-server",
                            "silent-connection",
                            "flood-low",
                            "flood-urgent",
                            "flood-team",
                            "cancel-wave",
                            "rack-loss",
                            "zone-loss",
                            "platform-down",
                            "rolling-restart",
                            "throughput");
        }
    }

    @Nested
    class Floods {
        /** Guards against a flood that remains in the reference run. */
        @Test
        void areExcludedFromTheReferenceRun() {
            Scenario flood = Scenarios.all(Shape.KILIMA).get("flood-urgent");
            assertThat(flood.hasFlood()).isTrue();
            assertThat(flood.withoutFlood().hasFlood()).isFalse();
            assertThat(flood.withoutFlood().loads()).hasSize(flood.loads().size() - 1);
        }
    }

    @Nested
    class Plot {
        /** Guards against a plot that cannot be rendered on a headless machine. */
        @Test
        void isAPng(@TempDir Path directory) throws Exception {
            Histogram ratios = new Histogram(3);
            ratios.recordValue(1_050);
            RatioPlot.write(ratios, "steady80", directory.resolve("plot.png"));
            assertThat(Files.readAllBytes(directory.resolve("plot.png"))).startsWith(0x89, 'P', 'N', 'G');
        }
    }
}
