package org.banyanspoke.standins.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ZoneDelayTest {
    private static final String JOB_OF_H1 = "h1~127.0.0.1:18000~00000000000000ab~1~2~00000000000000cd";

    private final ZoneDelay delay = new ZoneDelay(1_400, List.of("z1", "z2"), Map.of("h1", "z1"));

    @Nested
    class Micros {
        /** Guards against a delay on every request, which would hide whether hosts prefer their own zone. */
        @Test
        void areZeroWithinAZone() {
            assertThat(delay.micros(0, JOB_OF_H1)).isZero();
        }

        /** Guards against requests between zones without delay. */
        @Test
        void areTheDelayBetweenZones() {
            assertThat(delay.micros(1, JOB_OF_H1)).isEqualTo(1_400);
        }

        /** Guards against a failure at health checks, which have no job id. */
        @Test
        void areZeroWithoutAJobOfAKnownHost() {
            assertThat(delay.micros(1, null)).isZero();
            assertThat(delay.micros(1, "h9~x")).isZero();
        }
    }
}
