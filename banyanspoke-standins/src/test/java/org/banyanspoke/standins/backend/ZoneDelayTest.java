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
    class RequestDelay {
        /** Guards against a delay within a zone, which would hide whether entry hosts prefer their own zone. */
        @Test
        void isZeroWithinAZone() {
            assertThat(delay.requestDelayMicros(0, JOB_OF_H1)).isZero();
        }

        /** Guards against requests between zones that are not delayed. */
        @Test
        void isTheConfiguredDelayBetweenZones() {
            assertThat(delay.requestDelayMicros(1, JOB_OF_H1)).isEqualTo(1_400);
        }

        /** Guards against an exception on health checks, which have no job id. */
        @Test
        void isZeroWithoutAJobIdOfAKnownHost() {
            assertThat(delay.requestDelayMicros(1, null)).isZero();
            assertThat(delay.requestDelayMicros(1, "h9~x")).isZero();
        }
    }
}
