package org.banyanspoke.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LinearFitTest {
    private static CapacityPoint point(int value, Map<String, Double> figures) {
        return new CapacityPoint(Dimension.HOSTS, value, CapacitySize.DESIGN, 0, figures);
    }

    @Nested
    class Prediction {
        /** Guards against an extrapolation to the design size of another dimension. */
        @Test
        void isEvaluatedAtTheDesignSize() {
            List<CapacityPoint> points = Stream.of(2, 4, 8, 16)
                    .map(hosts -> point(hosts, Map.of("bytes", 100.0 + 3 * hosts)))
                    .toList();
            LinearFit fit = LinearFit.of(points).get(0);
            assertThat(fit.slope()).isCloseTo(3, within(1e-9));
            assertThat(fit.atDesignSize()).isCloseTo(100 + 3 * 180, within(1e-6));
            assertThat(fit.rSquare()).isCloseTo(1, within(1e-9));
        }

        /** Guards against a fit through two points, which is always exact. */
        @Test
        void requiresThreePointsWithTheFigure() {
            List<CapacityPoint> points = List.of(
                    point(2, Map.of("bytes", 1.0)), point(4, Map.of("bytes", 2.0)), point(8, Map.of("other", 3.0)));
            assertThat(LinearFit.of(points)).isEmpty();
        }
    }
}
