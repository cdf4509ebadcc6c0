package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against jobs that are refused while another zone has room, and against jobs that wander through a flooded site. */
class JobPlacementTest {
    private static final PoolLoad EMPTY = new PoolLoad(200_000, 200_000, 0, 0, 0, 0);
    /** Three seconds of work for the whole pool. */
    private static final PoolLoad FLOODED = new PoolLoad(200_000, 0, 600_000, 50, 2_000_000, 300);

    private long nowMillis = 10_000;
    private final JobPlacement placement =
            new JobPlacement(RoutedJobs.ofEightTasks(), new JobRouter(new ZoneId("a")), () -> nowMillis * 1_000_000);

    private static HostState dispatcher(String zone, PoolLoad load) {
        return new HostState(new HostId("h-" + zone), new ZoneId(zone), 1, 1_000, false, 1, Set.of(), load);
    }

    @Nested
    class ARefusedJob {
        @Test
        void goesToAZoneWithRoom() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", EMPTY));
            assertThat(placement.next(all)).map(HostState::zone).contains(new ZoneId("a"));
            assertThat(placement.next(all)).map(HostState::zone).contains(new ZoneId("b"));
        }

        @Test
        void isRefusedAtOnceWhenTheOtherZonesAreFloodedToo() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", FLOODED));
            assertThat(placement.next(all)).isPresent();
            assertThat(placement.next(all)).isEmpty();
            assertThat(placement.waits()).isFalse();
        }

        @Test
        void isNotPassedOnMoreThanOnce() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", EMPTY), dispatcher("c", EMPTY));
            assertThat(placement.next(all)).isPresent();
            assertThat(placement.next(all)).isPresent();
            assertThat(placement.next(all)).isEmpty();
            assertThat(placement.dispatchers()).isEqualTo(2);
        }

        @Test
        void isNotPassedOnWhenItsEndWouldBeOfNoUse() {
            List<HostState> all = List.of(dispatcher("a", EMPTY), dispatcher("b", EMPTY));
            assertThat(placement.next(all)).isPresent();
            nowMillis += RoutedJobs.ofEightTasks().usefulMillis();
            assertThat(placement.next(all)).isEmpty();
        }
    }

    /** The first moments after all hosts have lost power, or after the only dispatcher in reach has died. */
    @Nested
    class WithoutAnyDispatcher {
        @Test
        void aJobWaitsForTheNextOne() {
            assertThat(placement.next(List.of())).isEmpty();
            assertThat(placement.waits()).isTrue();
            nowMillis += 300;
            assertThat(placement.next(List.of(dispatcher("a", EMPTY)))).isPresent();
            assertThat(placement.job().ageMillis()).isEqualTo(300);
        }

        @Test
        void aJobIsRefusedOnceItsEndWouldBeOfNoUse() {
            nowMillis += RoutedJobs.ofEightTasks().usefulMillis()
                    - RoutedJobs.ofEightTasks().shortestMillis()
                    + 1;
            assertThat(placement.next(List.of())).isEmpty();
            assertThat(placement.waits()).isFalse();
        }
    }
}
