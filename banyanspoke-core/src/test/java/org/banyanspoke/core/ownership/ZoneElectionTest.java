package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against zones without a dispatcher and against two dispatchers that both keep the role. */
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
        void theOldestHostOfTheZoneIsElected() {
            HostState old = host("a", 1, false, 0);
            HostState young = host("a", 2, false, 0);
            assertThat(ZoneElection.shouldDispatch(old, List.of(young))).isTrue();
            assertThat(ZoneElection.shouldDispatch(young, List.of(old))).isFalse();
        }

        @Test
        void olderHostsOfOtherZonesDoNotCount() {
            assertThat(ZoneElection.shouldDispatch(host("a", 2, false, 0), List.of(host("b", 1, false, 9))))
                    .isTrue();
        }

        @Test
        void anUnregisteredOrLeavingHostIsNotElected() {
            assertThat(ZoneElection.shouldDispatch(host("a", 0, false, 0), List.of()))
                    .isFalse();
            assertThat(ZoneElection.shouldDispatch(host("a", 1, true, 0), List.of()))
                    .isFalse();
        }
    }

    @Nested
    class WithADispatcher {
        @Test
        void anOlderHostDoesNotReplaceIt() {
            assertThat(ZoneElection.shouldDispatch(host("a", 1, false, 0), List.of(host("a", 2, false, 5))))
                    .isFalse();
        }

        @Test
        void aLeavingOneIsReplaced() {
            assertThat(ZoneElection.shouldDispatch(host("a", 2, false, 0), List.of(host("a", 1, true, 5))))
                    .isTrue();
        }

        @Test
        void ofTwoClaimsOnlyTheLaterRemains() {
            HostState earlier = host("a", 1, false, 5);
            HostState later = host("a", 2, false, 6);
            assertThat(ZoneElection.shouldDispatch(earlier, List.of(later))).isFalse();
            assertThat(ZoneElection.shouldDispatch(later, List.of(earlier))).isTrue();
        }

        @Test
        void ofTwoClaimsInOneRoundTheYoungerHostRemains() {
            HostState old = host("a", 1, false, 5);
            HostState young = host("a", 2, false, 5);
            assertThat(ZoneElection.shouldDispatch(old, List.of(young))).isFalse();
            assertThat(ZoneElection.shouldDispatch(young, List.of(old))).isTrue();
        }
    }

    /** A dispatcher on a host with too little processor capacity delays every job of its zone. */
    @Nested
    class HostsOfUnequalCapacity {
        private final HostState weak = host("a", 1, 270, false, 0);
        private final HostState strong = host("a", 2, 1_500, false, 0);

        @Test
        void theStrongestIsElectedThoughItIsYounger() {
            assertThat(ZoneElection.shouldDispatch(strong, List.of(weak))).isTrue();
            assertThat(ZoneElection.shouldDispatch(weak, List.of(strong))).isFalse();
        }

        @Test
        void aWeakDispatcherHandsOverToAMuchStrongerHost() {
            HostState dispatcher = host("a", 1, 270, false, 5);
            assertThat(ZoneElection.shouldHandOver(dispatcher, List.of(strong))).isTrue();
            assertThat(ZoneElection.shouldDispatch(strong, List.of(host("a", 1, 270, true, 5))))
                    .isTrue();
        }

        @Test
        void aSlightlyStrongerHostDoesNotCauseAHandover() {
            HostState dispatcher = host("a", 1, 1_000, false, 5);
            assertThat(ZoneElection.shouldHandOver(dispatcher, List.of(host("a", 2, 1_200, false, 0))))
                    .isFalse();
        }

        @Test
        void unregisteredAndLeavingHostsAndOtherZonesDoNotCauseAHandover() {
            HostState dispatcher = host("a", 1, 270, false, 5);
            assertThat(ZoneElection.shouldHandOver(
                            dispatcher,
                            List.of(
                                    host("b", 2, 1_500, false, 0),
                                    host("a", 3, 1_500, true, 0),
                                    host("a", 0, 1_500, false, 0))))
                    .isFalse();
        }
    }

    /** After a loss of all hosts, each waited a fixed time for states that it had already received. */
    @Nested
    class AfterARestartOfAllHosts {
        private final HostState self = host("a", 1, false, 0);
        private final HostState sameZone = host("a", 2, false, 0);
        private final HostState otherZone = host("b", 3, false, 0);
        private final Set<HostId> listed = Set.of(sameZone.host(), otherZone.host());

        @Test
        void aHostThatHasHeardAllOthersNeedNotWait() {
            assertThat(ZoneElection.isInformed(self, listed, List.of(sameZone, otherZone), 0))
                    .isTrue();
        }

        @Test
        void aHostWaitsForThoseItHasNotHeard() {
            assertThat(ZoneElection.isInformed(self, listed, List.of(sameZone), 299))
                    .isFalse();
            assertThat(ZoneElection.isInformed(self, listed, List.of(sameZone), 300))
                    .isTrue();
        }

        /** Otherwise a weaker host would claim, and hand its servers over a moment later. */
        @Test
        void aHostWaitsForTheRegistrationOfOthersInItsZone() {
            HostState unregistered = host("a", 0, false, 0);
            assertThat(ZoneElection.isInformed(self, Set.of(unregistered.host()), List.of(unregistered), 100))
                    .isFalse();
        }

        @Test
        void aHostWithoutAListWaits() {
            assertThat(ZoneElection.isInformed(self, Set.of(), List.of(), 100)).isFalse();
            assertThat(ZoneElection.isInformed(self, Set.of(), List.of(), 300)).isTrue();
        }
    }
}
