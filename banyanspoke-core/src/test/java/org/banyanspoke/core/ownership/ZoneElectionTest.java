package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against zones without a dispatcher and against two that both go on. */
class ZoneElectionTest {
    private static HostState host(String zone, long registration, boolean leaving, long round) {
        return new HostState(
                new HostId("h" + registration),
                new ZoneId(zone),
                registration,
                leaving,
                round,
                Set.of(),
                PoolLoad.NONE);
    }

    @Nested
    class WithoutADispatcher {
        @Test
        void theOldestHostOfTheZoneFollows() {
            HostState old = host("a", 1, false, 0);
            HostState young = host("a", 2, false, 0);
            assertThat(ZoneElection.dispatches(old, List.of(young))).isTrue();
            assertThat(ZoneElection.dispatches(young, List.of(old))).isFalse();
        }

        @Test
        void olderHostsOfOtherZonesDoNotCount() {
            assertThat(ZoneElection.dispatches(host("a", 2, false, 0), List.of(host("b", 1, false, 9))))
                    .isTrue();
        }

        @Test
        void aHostWithoutNumberOrAboutToStopDoesNotBegin() {
            assertThat(ZoneElection.dispatches(host("a", 0, false, 0), List.of()))
                    .isFalse();
            assertThat(ZoneElection.dispatches(host("a", 1, true, 0), List.of()))
                    .isFalse();
        }
    }

    @Nested
    class WithADispatcher {
        @Test
        void anOlderHostDoesNotReplaceIt() {
            assertThat(ZoneElection.dispatches(host("a", 1, false, 0), List.of(host("a", 2, false, 5))))
                    .isFalse();
        }

        @Test
        void aStoppingOneHasASuccessor() {
            assertThat(ZoneElection.dispatches(host("a", 2, false, 0), List.of(host("a", 1, true, 5))))
                    .isTrue();
        }

        @Test
        void ofTwoOnlyTheLaterClaimGoesOn() {
            HostState earlier = host("a", 1, false, 5);
            HostState later = host("a", 2, false, 6);
            assertThat(ZoneElection.dispatches(earlier, List.of(later))).isFalse();
            assertThat(ZoneElection.dispatches(later, List.of(earlier))).isTrue();
        }

        @Test
        void ofTwoWithOneRoundTheYoungerGoesOn() {
            HostState old = host("a", 1, false, 5);
            HostState young = host("a", 2, false, 5);
            assertThat(ZoneElection.dispatches(old, List.of(young))).isFalse();
            assertThat(ZoneElection.dispatches(young, List.of(old))).isTrue();
        }
    }
}
