package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.banyanspoke.core.pool.SimulatedServers.StartFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against two runs of a task after a pause without tasks. Review case 6: a start that was executed late was not
 * refused, because the reading of the server's clock was too old.
 */
class IdleServersTest {
    private static final double SLOWEST_CLOCK_RATE = 0.98;
    /** With the slowest clock, a deadline that is based on a reading of this age is 4 s too late. */
    private static final long IDLE_MILLIS = 200_000;
    /** Ends after the late start has been executed. */
    private static final long RUN_MILLIS = 4_000;

    private final SimulatedServers simulation = new SimulatedServers();
    private final ServerPool pool = SimulatedPools.create(simulation, 1, PoolListener.NONE);
    private final SimulatedJobs jobs = new SimulatedJobs(simulation, pool);

    private void addIdleServers(double clockRate) {
        simulation.add("s0", "a", 16_000).clockRate = clockRate;
        simulation.add("s1", "a", 16_000).clockRate = clockRate;
        pool.assign(simulation.descriptors());
        simulation.run(pool, IDLE_MILLIS);
    }

    private CallerJobId submitTask() {
        return jobs.submit(SimulatedJobs.LONG, 1, RUN_MILLIS, 3 * RUN_MILLIS);
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    @Nested
    class AfterAPauseWithoutTasks {
        /** Guards against two runs of a task at the same time. */
        @Test
        void refuseALateStart() {
            addIdleServers(SLOWEST_CLOCK_RATE);
            simulation.runMillis = run -> RUN_MILLIS;
            simulation.servers.values().forEach(server -> server.fault = StartFault.LATE);
            CallerJobId id = submitTask();
            simulation.servers.values().forEach(server -> {
                server.fault = StartFault.NONE;
                // No stop command reaches the server that has received the start.
                server.reachable = server.receivedStarts == 0;
            });
            simulation.run(pool, 2 * RUN_MILLIS);
            assertThat(simulation.startCommands()).isEqualTo(2);
            assertThat(simulation.starts()).isEqualTo(1);
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
        }

        /** Guards against deadlines that have passed when the start arrives, because they allow for a slow clock. */
        @Test
        void acceptTheFirstStart() {
            addIdleServers(1);
            CallerJobId id = submitTask();
            simulation.run(pool, 200);
            assertThat(simulation.startCommands()).isEqualTo(1);
            assertThat(simulation.starts()).isEqualTo(1);
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
        }

        /** Guards against a first lease that ends before a short run does. */
        @Test
        void runATaskWhoseStartHasNoReply() {
            addIdleServers(1);
            simulation.servers.values().forEach(server -> server.fault = StartFault.ANSWER_LOST);
            CallerJobId id = submitTask();
            simulation.run(pool, 400);
            assertThat(jobs.kind(id)).isEqualTo(Kind.COMPLETED);
        }

        /** Guards against a load of requests by dispatchers of many idle servers. */
        @Test
        void areAskedRarely() {
            addIdleServers(1);
            long requestsPerServer = simulation.renewCommands() / 2;
            assertThat(requestsPerServer).isLessThanOrEqualTo(IDLE_MILLIS / 5_000);
        }
    }
}
