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
    private static final long PROCESSOR_MILLICORES = 1_000;

    private static HostState host(String zone, long registration, boolean leaving, long round) {
        return host(zone, registration, PROCESSOR_MILLICORES, leaving, round);
    }

    private static HostState host(
            String zone, long registration, long processorMillicores, boolean leaving, long round) {
        return new HostState(
                new HostId("h" + registration),
                new ZoneId(zone),
                registration,
                processorMillicores,
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

    /** A dispatcher on a weak host falls behind and delays every job of its zone. */
    @Nested
    class HostsOfUnequalStrength {
        private final HostState weak = host("a", 1, 270, false, 0);
        private final HostState strong = host("a", 2, 1_500, false, 0);

        @Test
        void theStrongestFollowsThoughItIsYounger() {
            assertThat(ZoneElection.dispatches(strong, List.of(weak))).isTrue();
            assertThat(ZoneElection.dispatches(weak, List.of(strong))).isFalse();
        }

        @Test
        void aWeakDispatcherHandsOverToAMuchStrongerHost() {
            HostState dispatcher = host("a", 1, 270, false, 5);
            assertThat(ZoneElection.handsOver(dispatcher, List.of(strong))).isTrue();
            assertThat(ZoneElection.dispatches(strong, List.of(host("a", 1, 270, true, 5))))
                    .isTrue();
        }

        @Test
        void aLittleMoreIsNotWorthAHandover() {
            HostState dispatcher = host("a", 1, 1_000, false, 5);
            assertThat(ZoneElection.handsOver(dispatcher, List.of(host("a", 2, 1_200, false, 0))))
                    .isFalse();
        }

        @Test
        void hostsOfOtherZonesOrAboutToStopOrWithoutNumberAreNoSuccessors() {
            HostState dispatcher = host("a", 1, 270, false, 5);
            assertThat(ZoneElection.handsOver(
                            dispatcher,
                            List.of(
                                    host("b", 2, 1_500, false, 0),
                                    host("a", 3, 1_500, true, 0),
                                    host("a", 0, 1_500, false, 0))))
                    .isFalse();
        }
    }
}
