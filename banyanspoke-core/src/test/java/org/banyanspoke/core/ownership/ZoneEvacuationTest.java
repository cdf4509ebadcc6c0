package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.StartPermission;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against starts in an evacuated zone and against a slow server that gets its full load at once. */
class ZoneEvacuationTest {
    private static final long GRACE_MILLIS = 1_000;
    private static final long LAST_START_MILLIS = 4_000;

    private long nowMillis = 100_000;
    private final ZoneEvacuation evacuation =
            new ZoneEvacuation(GRACE_MILLIS, LAST_START_MILLIS, () -> TimeUnit.MILLISECONDS.toNanos(nowMillis));

    private static ServerDescriptor server(long coldRemainingMillis) {
        return new ServerDescriptor(
                        new ServerId("i-1"), "s", "10.0.0.1:80", new ZoneId("a"), List.of(), 64_000, 1, 0, false, 1)
                .withColdRemainingMillis(coldRemainingMillis);
    }

    private void readWhileDispatching(boolean requested) {
        evacuation.update(requested, true, nowMillis);
    }

    @Test
    void nothingStartsBeforeTheStateIsKnown() {
        assertThat(evacuation.permission()).isEqualTo(StartPermission.NONE);
    }

    @Test
    void everythingStartsWithoutARequest() {
        readWhileDispatching(false);
        assertThat(evacuation.permission()).isEqualTo(StartPermission.ALL_JOBS);
        assertThat(evacuation.usable(server(5_000)).cpuMillicores()).isEqualTo(64_000);
    }

    @Test
    void startedJobsGoOnDuringTheGracePeriod() {
        readWhileDispatching(false);
        readWhileDispatching(true);
        nowMillis += GRACE_MILLIS - 1;
        assertThat(evacuation.permission()).isEqualTo(StartPermission.STARTED_JOBS);
        nowMillis++;
        assertThat(evacuation.permission()).isEqualTo(StartPermission.NONE);
    }

    /** A host that starts, or takes over as dispatcher later, has no jobs to finish. */
    @Nested
    class WithoutAGracePeriod {
        @Test
        void isARequestFoundAtStartup() {
            evacuation.update(true, false, ZoneEvacuation.NEVER);
            assertThat(evacuation.permission()).isEqualTo(StartPermission.NONE);
        }

        @Test
        void isARequestReadBeforeATakeover() {
            evacuation.update(false, false, ZoneEvacuation.NEVER);
            evacuation.update(true, false, nowMillis);
            assertThat(evacuation.permission()).isEqualTo(StartPermission.NONE);
        }

        /** The dispatcher was suspended or its reads failed, so the request may be as old as the last read. */
        @Test
        void isARequestThatMayBeOld() {
            readWhileDispatching(false);
            long lastReadMillis = nowMillis;
            nowMillis += LAST_START_MILLIS;
            evacuation.update(true, true, lastReadMillis);
            assertThat(evacuation.permission()).isEqualTo(StartPermission.NONE);
        }
    }

    @Test
    void theGracePeriodIsShortenedByTheAgeOfTheLastRead() {
        readWhileDispatching(false);
        long lastReadMillis = nowMillis;
        nowMillis += LAST_START_MILLIS - 300;
        evacuation.update(true, true, lastReadMillis);
        nowMillis += 299;
        assertThat(evacuation.permission()).isEqualTo(StartPermission.STARTED_JOBS);
        nowMillis++;
        assertThat(evacuation.permission()).isEqualTo(StartPermission.NONE);
    }

    @Test
    void aRepeatedRequestDoesNotExtendTheGracePeriod() {
        readWhileDispatching(false);
        readWhileDispatching(true);
        nowMillis += 900;
        readWhileDispatching(true);
        nowMillis += 100;
        assertThat(evacuation.permission()).isEqualTo(StartPermission.NONE);
    }

    @Test
    void aWithdrawalPermitsAllStartsAndTheNextRequestApplies() {
        readWhileDispatching(true);
        readWhileDispatching(false);
        assertThat(evacuation.permission()).isEqualTo(StartPermission.ALL_JOBS);
        readWhileDispatching(true);
        assertThat(evacuation.permission()).isEqualTo(StartPermission.STARTED_JOBS);
    }

    @Nested
    class AfterAWithdrawal {
        @Test
        void aColdServerGetsHalfOfItsProcessorCapacity() {
            readWhileDispatching(true);
            readWhileDispatching(false);
            assertThat(evacuation.usable(server(5_000)).cpuMillicores()).isEqualTo(32_000);
        }

        @Test
        void aServerAtFullSpeedGetsAllOfIt() {
            readWhileDispatching(true);
            readWhileDispatching(false);
            assertThat(evacuation.usable(server(0)).cpuMillicores()).isEqualTo(64_000);
        }
    }
}
