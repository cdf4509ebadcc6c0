package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against lost hosts that are noticed late, and against exchanges that nobody needs. */
class HostContactsTest {
    private static final HostId DISPATCHER = new HostId("dispatcher");
    private static final HostId NEIGHBOUR = new HostId("neighbour");
    private static final HostId FAR_DISPATCHER = new HostId("far-dispatcher");
    private static final HostId FAR_HOST = new HostId("far-host");
    private static final PoolLoad ROOMY = new PoolLoad(16_000, 16_000, 0, 0, 0, 0);
    private static final PoolLoad TIGHT = new PoolLoad(16_000, 3_000, 0, 0, 0, 100);
    private static final PoolLoad QUEUED = new PoolLoad(16_000, 8_000, 900, 1, 12_000, 100);
    private static final long TICK_MILLIS = 50;

    private final Set<HostId> withJobs = new HashSet<>();
    private HostState self = host("self", "a", 0, PoolLoad.NONE);
    private long nowMillis;
    private final HostContacts contacts =
            new HostContacts(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis), () -> withJobs);

    private static HostState host(String name, String zone, long round, PoolLoad load) {
        return new HostState(new HostId(name), new ZoneId(zone), 7, 1_000, false, round, Set.of(), load);
    }

    private static HostState dispatcher(PoolLoad load) {
        return host("dispatcher", "a", 3, load);
    }

    @BeforeEach
    void hearAll() {
        nowMillis = 1_000_000;
        contacts.heard(dispatcher(ROOMY));
        contacts.heard(host("neighbour", "a", 0, PoolLoad.NONE));
        contacts.heard(host("far-dispatcher", "b", 2, ROOMY));
        contacts.heard(host("far-host", "b", 0, PoolLoad.NONE));
        contacts.forgetSilent(self);
    }

    /** Lets time pass in ticks while the dispatcher of the zone is heard with a load; null while it is silent too. */
    private void pass(long millis, PoolLoad load) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            if (load != null) {
                contacts.heard(dispatcher(load));
            }
            contacts.forgetSilent(self);
        }
    }

    @Nested
    class AHostThatDoesNotDispatch {
        @Test
        void noticesTheLossOfItsDispatcherSoon() {
            pass(700, null);
            assertThat(contacts.hears(DISPATCHER)).isTrue();
            pass(100, null);
            assertThat(contacts.hears(DISPATCHER)).isFalse();
        }

        @Test
        void asksOtherZonesSeldomWhileItsOwnHasRoom() {
            pass(950, ROOMY);
            assertThat(contacts.isDue(FAR_DISPATCHER)).isFalse();
            assertThat(contacts.isDue(NEIGHBOUR)).isFalse();
            pass(50, ROOMY);
            assertThat(contacts.isDue(FAR_DISPATCHER)).isTrue();
            assertThat(contacts.isDue(NEIGHBOUR)).isFalse();
            assertThat(contacts.isDue(FAR_HOST)).isFalse();
        }

        @Test
        void watchesTheDispatchersOfOtherZonesOnceJobsMayGoThere() {
            pass(200, TIGHT);
            assertThat(contacts.isDue(FAR_DISPATCHER)).isTrue();
        }

        @Test
        void watchesThemWhileJobsWait() {
            pass(200, QUEUED);
            assertThat(contacts.isDue(FAR_DISPATCHER)).isTrue();
        }

        /** A dispatcher that was heard 900 ms ago is not lost at the moment from which it matters more. */
        @Test
        void givesTimeForAnExchangeWhenADispatcherBeginsToMatter() {
            pass(900, ROOMY);
            pass(700, TIGHT);
            assertThat(contacts.hears(FAR_DISPATCHER)).isTrue();
            pass(100, TIGHT);
            assertThat(contacts.hears(FAR_DISPATCHER)).isFalse();
        }

        /** Guards against a lost dispatcher that is never noticed, because it matters by turns more and less. */
        @Test
        void forgetsALostDispatcherAlsoWhenItsOwnZoneIsTightByTurns() {
            for (int i = 0; i < 4; i++) {
                pass(350, TIGHT);
                pass(350, ROOMY);
            }
            assertThat(contacts.hears(FAR_DISPATCHER)).isFalse();
        }

        /** Guards against a zone that waits for a successor which was lost together with the dispatcher. */
        @Test
        void findsOutSoonWhichHostsCanFollowALostDispatcher() {
            pass(800, null);
            assertThat(contacts.hears(DISPATCHER)).isFalse();
            assertThat(contacts.isDue(NEIGHBOUR)).isTrue();
            pass(800, null);
            assertThat(contacts.hears(NEIGHBOUR)).isFalse();
        }

        @Test
        void asksASilentHostAgainAfterASecond() {
            HostId unknown = new HostId("unknown");
            assertThat(contacts.isDue(unknown)).isTrue();
            contacts.asked(unknown);
            pass(950, ROOMY);
            assertThat(contacts.isDue(unknown)).isFalse();
            pass(50, ROOMY);
            assertThat(contacts.isDue(unknown)).isTrue();
        }
    }

    @Nested
    class ADispatcher {
        @BeforeEach
        void dispatch() {
            self = host("self", "a", 5, ROOMY);
        }

        @Test
        void watchesTheHostsOfItsZone() {
            pass(200, ROOMY);
            assertThat(contacts.isDue(NEIGHBOUR)).isTrue();
            pass(600, ROOMY);
            assertThat(contacts.hears(NEIGHBOUR)).isFalse();
        }

        /** Guards against jobs that go on here while their caller, whose entry host is lost, sends them elsewhere. */
        @Test
        void noticesTheLossOfAFarHostThatWaitsForItsJobs() {
            pass(2_000, ROOMY);
            withJobs.add(FAR_HOST);
            pass(50, ROOMY);
            assertThat(contacts.isDue(FAR_HOST)).isTrue();
            pass(700, ROOMY);
            assertThat(contacts.hears(FAR_HOST)).isTrue();
            pass(50, ROOMY);
            assertThat(contacts.hears(FAR_HOST)).isFalse();
        }

        @Test
        void leavesFarHostsWithoutJobsAlone() {
            pass(5_000, ROOMY);
            assertThat(contacts.isDue(FAR_HOST)).isFalse();
            assertThat(contacts.hears(FAR_HOST)).isTrue();
        }
    }
}
