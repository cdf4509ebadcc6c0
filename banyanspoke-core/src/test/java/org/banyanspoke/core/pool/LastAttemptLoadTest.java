package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.banyanspoke.core.pool.SimulatedServers.Server;
import org.banyanspoke.core.pool.SimulatedServers.StartFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks that jobs do not fail because the last attempts of their tasks go to servers that fail tasks. */
class LastAttemptLoadTest {
    private static final QueuePolicy TWO_ATTEMPTS = new QueuePolicy("two", "service", 1, 2, 4, 500);

    private final SimulatedServers simulation = new SimulatedServers();
    private final Random random = new Random(20_261_206);
    private final ServerPool pool = newPool();
    private final SimulatedJobs jobs = new SimulatedJobs(simulation, pool);

    private ServerPool newPool() {
        return SimulatedPools.create(simulation, 1, PoolListener.NONE);
    }

    private void addServers(int servers) {
        for (int i = 0; i < servers; i++) {
            simulation.add("s" + i, List.of("a", "only-s" + i), 16_000);
        }
        pool.assign(simulation.descriptors());
        simulation.run(pool, 100);
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    @Nested
    class ServersThatFailHalfOfTheirTasks {
        /** Last attempts went to servers that fail half of their tasks and had just succeeded. */
        @Test
        void failFewJobs() {
            addServers(8);
            simulation.servers.values().stream()
                    .limit(4)
                    .forEach(server -> server.failingRuns = run -> random.nextBoolean());
            for (int i = 0; i < 1_000; i++) {
                simulation.after(i * 20L, () -> jobs.submit(TWO_ATTEMPTS, 2, 100));
            }
            simulation.run(pool, 23_000);
            assertThat(jobs.count(TWO_ATTEMPTS, Kind.FAILED)).isLessThan(5);
        }
    }

    @Nested
    class ATaskThatFailsEverywhere {
        /** Guards against a task that waits for a trusted server until its job expires. */
        @Test
        void stillFailsItsJob() {
            addServers(3);
            simulation.servers.values().forEach(server -> server.fault = StartFault.FAILS);
            CallerJobId job = jobs.submit(TWO_ATTEMPTS, 1, 100);
            simulation.run(pool, 200);
            assertThat(jobs.kind(job)).isEqualTo(Kind.FAILED);
        }
    }

    @Nested
    class ALastAttempt {
        private Server server(String id) {
            return simulation.servers.get(new ServerId(id));
        }

        private void submitTo(String server, int number, int tasks, long estimateMillis) {
            jobs.submit(new PooledJob(
                    new CallerJobId(String.format("%016x", 0x1000 + number)),
                    TWO_ATTEMPTS,
                    "work",
                    tasks,
                    new TaskRequirements(7_000, 64, 0, estimateMillis, "only-" + server, "", 0),
                    0,
                    1_500));
        }

        /** The attempt went to a server whose last task had failed, though another one was about to have room. */
        @Test
        void waitsForATrustedServer() {
            addServers(3);
            simulation.runMillis = run -> jobs.estimate(run.task().job());
            for (int i = 0; i < 3; i++) {
                submitTo("s" + i, i, 1, 50);
            }
            simulation.run(pool, 200);
            server("s1").fault = StartFault.FAILS;
            submitTo("s1", 3, 1, 50);
            submitTo("s2", 4, 2, 150);
            submitTo("s0", 5, 1, 150);
            simulation.run(pool, 20);
            CallerJobId job = new CallerJobId("00000000000000aa");
            server("s0").failingRuns = run -> run.task().job().equals(job);
            jobs.submit(job, TWO_ATTEMPTS, 1, 100);
            simulation.run(pool, 400);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
        }
    }
}
