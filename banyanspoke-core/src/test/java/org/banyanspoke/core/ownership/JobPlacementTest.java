package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against refusing jobs while another zone has free capacity and against forwarding them repeatedly under
 * overload.
 */
class JobPlacementTest {
    private static final PoolLoad EMPTY = new PoolLoad(200_000, 200_000, 0, 0, 0, 0);
    /** Pool with three seconds of queued work for its whole capacity. */
    private static final PoolLoad OVERLOADED = new PoolLoad(200_000, 0, 600_000, 50, 2_000_000, 300);

    private long nowMillis = 10_000;
    private final JobPlacement placement = new JobPlacement(
            TestJobs.ofEightTasks(),
            new JobRouter(new ZoneId("a"), new SplittableRandom(1)),
            () -> nowMillis * 1_000_000);

    private static HostState dispatcher(String zone, PoolLoad load) {
        return new HostState(new HostId("h-" + zone), new ZoneId(zone), 1, 1_000, false, 1, Set.of(), load);
    }

    @Nested
    class ARefusedJob {
        @Test
        void isSentToAZoneWithFreeCapacity() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", EMPTY));
            assertThat(placement.nextDispatcher(all)).map(HostState::zone).contains(new ZoneId("a"));
            assertThat(placement.nextDispatcher(all)).map(HostState::zone).contains(new ZoneId("b"));
        }

        @Test
        void isRefusedImmediatelyWhenTheOtherZonesAreOverloadedToo() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", OVERLOADED));
            assertThat(placement.nextDispatcher(all)).isPresent();
            assertThat(placement.nextDispatcher(all)).isEmpty();
            assertThat(placement.shouldWait()).isFalse();
        }

        @Test
        void isForwardedAtMostOnceMore() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", EMPTY), dispatcher("c", EMPTY));
            assertThat(placement.nextDispatcher(all)).isPresent();
            assertThat(placement.nextDispatcher(all)).isPresent();
            assertThat(placement.nextDispatcher(all)).isEmpty();
            assertThat(placement.dispatcherCount()).isEqualTo(2);
        }

        @Test
        void isNotForwardedAfterItsExpiry() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", EMPTY));
            assertThat(placement.nextDispatcher(all)).isPresent();
            nowMillis += TestJobs.ofEightTasks().expiryMillis();
            assertThat(placement.nextDispatcher(all)).isEmpty();
        }
    }

    /** Situation shortly after a power failure of all hosts, or after the failure of the only reachable dispatcher. */
    @Nested
    class WithoutAnyDispatcher {
        @Test
        void aJobWaitsForOne() {
            assertThat(placement.nextDispatcher(List.of())).isEmpty();
            assertThat(placement.shouldWait()).isTrue();
            nowMillis += 300;
            assertThat(placement.nextDispatcher(List.of(dispatcher("a", EMPTY))))
                    .isPresent();
            assertThat(placement.job().ageMillis()).isEqualTo(300);
        }

        @Test
        void aJobIsRefusedOnceItCannotFinishBeforeItsExpiry() {
            nowMillis += TestJobs.ofEightTasks().expiryMillis()
                    - TestJobs.ofEightTasks().minRunMillis()
                    + 1;
            assertThat(placement.nextDispatcher(List.of())).isEmpty();
            assertThat(placement.shouldWait()).isFalse();
        }
    }
}
