package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.banyanspoke.core.pool.SimulatedServers.Server;
import org.banyanspoke.core.pool.SimulatedServers.StartFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks which runs are stopped because of their progress, under load. */
class StalledRunsLoadTest {
    private static final QueuePolicy LENIENT = new QueuePolicy("lenient", "service", 1, 3, 10, 1_000);
    private static final long CALLER_TIMEOUT_MILLIS = 6_000;

    private final SimulatedServers simulation = new SimulatedServers();
    private int pauses;
    private final ServerPool pool = newPool();
    private final SimulatedJobs jobs = new SimulatedJobs(simulation, pool);

    private ServerPool newPool() {
        return SimulatedPools.create(simulation, 1, new PoolListener() {
            @Override
            public void onServerStateChanged(ServerId server, String state, String reason) {
                pauses += state.equals("paused") ? 1 : 0;
            }
        });
    }

    private void addServers(int servers) {
        for (int i = 0; i < servers; i++) {
            simulation.add("s" + i, "a", 16_000);
        }
        pool.assign(simulation.descriptors());
        simulation.run(pool, 100);
    }

    private Server firstServer() {
        return simulation.servers.values().iterator().next();
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    @Nested
    class LongTailOfRunTimes {
        /** Runs of several times their estimate were stopped though they made progress, and began anew. */
        @Test
        void eachTaskIsStartedOnce() {
            addServers(8);
            simulation.runMillis =
                    run -> jobs.estimate(run.task().job()) * (run.task().index() == 0 ? 7 : 1);
            for (int i = 0; i < 30; i++) {
                simulation.after(i * 200L, () -> jobs.submit(LENIENT, 4, 300, CALLER_TIMEOUT_MILLIS));
            }
            simulation.run(pool, 12_000);
            assertThat(jobs.count(LENIENT, Kind.COMPLETED)).isEqualTo(30);
            assertThat(simulation.starts()).isEqualTo(120);
            assertThat(pauses).isZero();
        }
    }

    @Nested
    class TasksThatStandStill {
        /** Runs that stood still after 60% of their work were never stopped. */
        @Test
        void endElsewhere() {
            addServers(4);
            firstServer().fault = StartFault.HANGS;
            firstServer().hangsAtPercent = 80;
            for (int i = 0; i < 20; i++) {
                simulation.after(i * 50L, () -> jobs.submit(LENIENT, 2, 100, CALLER_TIMEOUT_MILLIS));
            }
            simulation.run(pool, 3_000);
            assertThat(jobs.completedWithin(LENIENT, 1_500)).isEqualTo(20);
            assertThat(pauses).isPositive();
        }

        /** Guards against a stop because a report is late: progress is judged between reports. */
        @Test
        void unlessOnlyTheReportsAreLate() {
            addServers(1);
            simulation.runMillis = run -> 700;
            CallerJobId job = jobs.submit(LENIENT, 1, 100, CALLER_TIMEOUT_MILLIS);
            simulation.run(pool, 100);
            firstServer().renewalRepliesLost = true;
            simulation.run(pool, 450);
            firstServer().renewalRepliesLost = false;
            simulation.run(pool, 1_000);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
            assertThat(simulation.starts()).isEqualTo(1);
        }
    }

    @Nested
    class ASlowServer {
        /** Guards against a run that stays on a server that other runs have shown to be slow. */
        @Test
        void losesARunThatEndsMuchEarlierElsewhere() {
            addServers(2);
            simulation.runMillis = run -> jobs.estimate(run.task().job());
            for (int i = 0; i < 10; i++) {
                jobs.submit(LENIENT, 4, 100, CALLER_TIMEOUT_MILLIS);
            }
            simulation.run(pool, 2_000);
            long startsBefore = simulation.starts();
            firstServer().slowdown = 8;
            jobs.submit(LENIENT, 1, 100, CALLER_TIMEOUT_MILLIS);
            CallerJobId job = jobs.submit(LENIENT, 1, 400, CALLER_TIMEOUT_MILLIS);
            simulation.run(pool, 2_000);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
            assertThat(simulation.starts() - startsBefore).isEqualTo(3);
            assertThat(pauses).isZero();
        }
    }
}
