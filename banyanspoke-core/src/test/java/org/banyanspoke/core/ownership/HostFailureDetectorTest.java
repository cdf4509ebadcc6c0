package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.CapacityHistogram;
import org.banyanspoke.core.pool.FreeRoom;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against late detection of failed hosts and against unnecessary state exchanges. */
class HostFailureDetectorTest {
    private static final HostId DISPATCHER = new HostId("dispatcher");
    private static final HostId SAME_ZONE_HOST = new HostId("same-zone-host");
    private static final HostId OTHER_ZONE_DISPATCHER = new HostId("other-zone-dispatcher");
    private static final HostId OTHER_ZONE_HOST = new HostId("other-zone-host");
    private static final PoolLoad FREE = new PoolLoad(16_000, 16_000, 0, 0, 0, 0);
    private static final PoolLoad NEARLY_FULL = new PoolLoad(16_000, 3_000, 0, 0, 0, 100);
    private static final PoolLoad FRAGMENTED = new PoolLoad(
            128_000,
            60_000,
            0,
            0,
            0,
            100,
            new FreeRoom(CapacityHistogram.of(30_000, 30_000), CapacityHistogram.of(64_000, 64_000)),
            List.of(),
            34_000,
            0);
    private static final PoolLoad QUEUED = new PoolLoad(16_000, 8_000, 900, 1, 12_000, 100);
    private static final long TICK_MILLIS = 50;

    private final Set<HostId> hostsWithJobsHere = new HashSet<>();
    private HostState self = host("self", "a", 0, PoolLoad.NONE);
    private long nowMillis;
    private final HostFailureDetector detector =
            new HostFailureDetector(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis), () -> hostsWithJobsHere);

    private static HostState host(String name, String zone, long round, PoolLoad load) {
        return new HostState(new HostId(name), new ZoneId(zone), 7, 1_000, false, round, Set.of(), load);
    }

    private static HostState dispatcher(PoolLoad load) {
        return host("dispatcher", "a", 3, load);
    }

    @BeforeEach
    void recordAllHosts() {
        nowMillis = 1_000_000;
        detector.recordState(dispatcher(FREE));
        detector.recordState(host("same-zone-host", "a", 0, PoolLoad.NONE));
        detector.recordState(host("other-zone-dispatcher", "b", 2, FREE));
        detector.recordState(host("other-zone-host", "b", 0, PoolLoad.NONE));
        detector.removeSilent(self);
    }

    /** Advances time in ticks. The dispatcher of the zone reports the given load on each tick; it is silent if null. */
    private void advance(long millis, PoolLoad load) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            if (load != null) {
                detector.recordState(dispatcher(load));
            }
            detector.removeSilent(self);
        }
    }

    @Nested
    class AHostThatDoesNotDispatch {
        @Test
        void detectsTheLossOfItsDispatcherWithinItsTimeout() {
            advance(700, null);
            assertThat(detector.isAlive(DISPATCHER)).isTrue();
            advance(100, null);
            assertThat(detector.isAlive(DISPATCHER)).isFalse();
        }

        @Test
        void contactsOtherZonesRarelyWhileItsOwnHasFreeCapacity() {
            advance(950, FREE);
            assertThat(detector.isExchangeDue(OTHER_ZONE_DISPATCHER)).isFalse();
            assertThat(detector.isExchangeDue(SAME_ZONE_HOST)).isFalse();
            advance(50, FREE);
            assertThat(detector.isExchangeDue(OTHER_ZONE_DISPATCHER)).isTrue();
            assertThat(detector.isExchangeDue(SAME_ZONE_HOST)).isFalse();
            assertThat(detector.isExchangeDue(OTHER_ZONE_HOST)).isFalse();
        }

        @Test
        void monitorsDispatchersOfOtherZonesOnceJobsMayBeSentThere() {
            advance(200, NEARLY_FULL);
            assertThat(detector.isExchangeDue(OTHER_ZONE_DISPATCHER)).isTrue();
        }

        @Test
        void monitorsThemWhileJobsAreQueued() {
            advance(200, QUEUED);
            assertThat(detector.isExchangeDue(OTHER_ZONE_DISPATCHER)).isTrue();
        }

        /** Half of the capacity is free, but in fragments, so jobs leave the zone without being queued there. */
        @Test
        void monitorsThemWhileNoTaskLikeTheRunningOnesFits() {
            advance(200, FRAGMENTED);
            assertThat(detector.isExchangeDue(OTHER_ZONE_DISPATCHER)).isTrue();
        }

        /**
         * A dispatcher last heard 900 ms ago must not count as failed as soon as its monitoring level becomes critical.
         */
        @Test
        void allowsTimeForAnExchangeWhenADispatcherBecomesCritical() {
            advance(900, FREE);
            advance(700, NEARLY_FULL);
            assertThat(detector.isAlive(OTHER_ZONE_DISPATCHER)).isTrue();
            advance(100, NEARLY_FULL);
            assertThat(detector.isAlive(OTHER_ZONE_DISPATCHER)).isFalse();
        }

        /** Guards against a failed dispatcher that is never detected because its monitoring level keeps alternating. */
        @Test
        void removesALostDispatcherWhileItsLevelAlternates() {
            for (int i = 0; i < 4; i++) {
                advance(350, NEARLY_FULL);
                advance(350, FREE);
            }
            assertThat(detector.isAlive(OTHER_ZONE_DISPATCHER)).isFalse();
        }

        /** Guards against a zone that waits for a successor that failed together with the dispatcher. */
        @Test
        void checksCandidatesSoonAfterTheLossOfTheDispatcher() {
            advance(800, null);
            assertThat(detector.isAlive(DISPATCHER)).isFalse();
            assertThat(detector.isExchangeDue(SAME_ZONE_HOST)).isTrue();
            advance(800, null);
            assertThat(detector.isAlive(SAME_ZONE_HOST)).isFalse();
        }

        @Test
        void retriesASilentHostAfterASecond() {
            HostId unknown = new HostId("unknown");
            assertThat(detector.isExchangeDue(unknown)).isTrue();
            detector.recordRequest(unknown);
            advance(950, FREE);
            assertThat(detector.isExchangeDue(unknown)).isFalse();
            advance(50, FREE);
            assertThat(detector.isExchangeDue(unknown)).isTrue();
        }
    }

    @Nested
    class ADispatcher {
        @BeforeEach
        void dispatch() {
            self = host("self", "a", 5, FREE);
        }

        @Test
        void monitorsTheHostsOfItsZone() {
            advance(200, FREE);
            assertThat(detector.isExchangeDue(SAME_ZONE_HOST)).isTrue();
            advance(600, FREE);
            assertThat(detector.isAlive(SAME_ZONE_HOST)).isFalse();
        }

        /**
         * Guards against jobs that keep running here while their caller, whose entry host has failed, resubmits them
         * elsewhere.
         */
        @Test
        void detectsTheLossOfAHostOfAnotherZoneThatSentJobs() {
            advance(2_000, FREE);
            hostsWithJobsHere.add(OTHER_ZONE_HOST);
            advance(50, FREE);
            assertThat(detector.isExchangeDue(OTHER_ZONE_HOST)).isTrue();
            advance(700, FREE);
            assertThat(detector.isAlive(OTHER_ZONE_HOST)).isTrue();
            advance(50, FREE);
            assertThat(detector.isAlive(OTHER_ZONE_HOST)).isFalse();
        }

        @Test
        void rarelyContactsHostsOfOtherZonesWithoutJobs() {
            advance(5_000, FREE);
            assertThat(detector.isExchangeDue(OTHER_ZONE_HOST)).isFalse();
            assertThat(detector.isAlive(OTHER_ZONE_HOST)).isTrue();
        }
    }

    /** Such a process counted all others as lost, and ended the jobs of their callers, before it read their messages. */
    @Nested
    class AProcessThatWasPausedItself {
        @Test
        void doesNotCountItsPauseAsSilenceOfTheOthers() {
            hostsWithJobsHere.add(SAME_ZONE_HOST);
            advance(100, FREE);
            nowMillis += 2_000;
            assertThat(detector.removeSilent(self)).isEmpty();
            advance(200, FREE);
            assertThat(detector.isAlive(DISPATCHER)).isTrue();
            assertThat(detector.isAlive(SAME_ZONE_HOST)).isTrue();
        }

        /** A deadline that moved with each slow check was never reached. */
        @Test
        void detectsASilentHostThoughItStaysSlow() {
            advance(100, FREE);
            for (int i = 0; i < 6; i++) {
                nowMillis += 250;
                detector.removeSilent(self);
            }
            assertThat(detector.isAlive(DISPATCHER)).isFalse();
        }

        @Test
        void stillDetectsAHostThatIsSilentAfterwards() {
            advance(100, FREE);
            nowMillis += 2_000;
            advance(800, null);
            assertThat(detector.isAlive(DISPATCHER)).isFalse();
        }
    }
}
