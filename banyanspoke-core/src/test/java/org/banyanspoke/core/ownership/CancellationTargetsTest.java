package org.banyanspoke.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.pool.PoolLoad;
import org.junit.jupiter.api.Test;

/** Guards against a cancellation that does not reach the host that has the job. */
class CancellationTargetsTest {
    private static final HostState OWN = state("own", "a", 0, false);

    private static HostState state(String host, String zone, long round, boolean leaving) {
        return new HostState(new HostId(host), new ZoneId(zone), 1, 1_000, leaving, round, Set.of(), PoolLoad.NONE);
    }

    private static Set<HostId> choose(HostState... others) {
        List<HostState> states = List.of(others);
        return CancellationTargets.choose(
                OWN, states, states.stream().map(HostState::host).toList());
    }

    @Test
    void areTheDispatchersOfAllZonesAndTheHostsOfTheOwnZone() {
        assertThat(choose(
                        state("a-1", "a", 1, false),
                        state("a-2", "a", 0, false),
                        state("b-1", "b", 1, false),
                        state("b-2", "b", 0, false)))
                .containsExactlyInAnyOrder(new HostId("a-1"), new HostId("a-2"), new HostId("b-1"));
    }

    /** The hosts of such a zone hold the jobs of their callers until a dispatcher is there. */
    @Test
    void includeAllHostsOfAZoneWithoutADispatcher() {
        assertThat(choose(state("b-1", "b", 0, false), state("b-2", "b", 0, false)))
                .containsExactlyInAnyOrder(new HostId("b-1"), new HostId("b-2"));
    }

    @Test
    void includeAllHostsOfAZoneWhoseDispatcherIsLeaving() {
        assertThat(choose(state("b-1", "b", 1, true), state("b-2", "b", 0, false)))
                .containsExactlyInAnyOrder(new HostId("b-1"), new HostId("b-2"));
    }

    @Test
    void includeAHostWhoseZoneIsNotKnown() {
        assertThat(CancellationTargets.choose(OWN, List.of(), List.of(new HostId("new"))))
                .containsExactly(new HostId("new"));
    }

    @Test
    void excludeHostsThatCannotBeReached() {
        assertThat(CancellationTargets.choose(OWN, List.of(state("b-1", "b", 1, false)), List.of()))
                .isEmpty();
    }
}
