package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.banyanspoke.core.pool.SimulatedServers.StartFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against starts while they are suspended, and against a wrong answer to the jobs that this ends. */
class StartPermissionTest {
    private static final String REASON = "starts are suspended";
    private static final int SERVERS = 2;
    /** Two tasks fit on a server. */
    private static final int SLOTS = 2 * SERVERS;

    private final SimulatedServers simulation = new SimulatedServers();
    private final ServerPool pool = newPool();
    private final SimulatedJobs jobs = new SimulatedJobs(simulation, pool);

    private ServerPool newPool() {
        return SimulatedPools.create(simulation, 2, PoolListener.NONE);
    }

    @BeforeEach
    void addServers() {
        for (int i = 0; i < SERVERS; i++) {
            simulation.add("s" + i, "a", 16_000);
        }
        pool.assign(simulation.descriptors());
        simulation.run(pool, 100);
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    private void run(long millis) {
        simulation.run(pool, millis);
    }

    @Test
    void refusesQueuedJobsWithoutAStartedTaskAtOnce() {
        simulation.runMillis = run -> 400;
        jobs.submit(SimulatedJobs.URGENT, SLOTS, 400);
        CallerJobId queued = jobs.submit(SimulatedJobs.LONG, 1, 400);
        run(50);
        pool.permitStarts(StartPermission.STARTED_JOBS, REASON);
        assertThat(jobs.kind(queued)).isEqualTo(Kind.REFUSED);
        assertThat(jobs.endedJobs.get(queued).outcome().reason()).isEqualTo(REASON);
        assertThat(jobs.endedJobs.get(queued).outcome().retryAfterMillis()).isPositive();
        run(1_000);
        assertThat(simulation.starts()).isEqualTo(SLOTS);
    }

    @Test
    void startsTheRemainingTasksOfStartedJobs() {
        CallerJobId started = jobs.submit(SimulatedJobs.URGENT, SLOTS + 2, 100);
        run(50);
        pool.permitStarts(StartPermission.STARTED_JOBS, REASON);
        run(400);
        assertThat(jobs.kind(started)).isEqualTo(Kind.COMPLETED);
        assertThat(simulation.starts()).isEqualTo(SLOTS + 2);
    }

    @Test
    void abandonsAStartedJobWithPendingTasksAndStopsItsRuns() {
        simulation.runMillis = run -> 900;
        CallerJobId started = jobs.submit(SimulatedJobs.LONG, SLOTS + 2, 900);
        run(50);
        pool.permitStarts(StartPermission.NONE, REASON);
        assertThat(jobs.kind(started)).isEqualTo(Kind.ABANDONED);
        run(200);
        assertThat(simulation.servers.values()).allMatch(server -> server.running.isEmpty());
        assertThat(simulation.starts()).isEqualTo(SLOTS);
    }

    /** Runs whose job has no pending task go on, beyond their first lease. */
    @Test
    void completesJobsWhoseTasksAllRun() {
        simulation.runMillis = run -> 2_500;
        CallerJobId running = jobs.submit(SimulatedJobs.LONG, SLOTS, 2_500, 5_000);
        run(50);
        pool.permitStarts(StartPermission.NONE, REASON);
        run(3_000);
        assertThat(jobs.kind(running)).isEqualTo(Kind.COMPLETED);
        assertThat(simulation.starts()).isEqualTo(SLOTS);
    }

    @Test
    void abandonsAJobWhoseRunFailsLater() {
        simulation.servers.values().forEach(server -> server.fault = StartFault.FAILS);
        CallerJobId failing = jobs.submit(SimulatedJobs.LONG, 1, 300);
        pool.permitStarts(StartPermission.NONE, REASON);
        run(500);
        assertThat(jobs.kind(failing)).isEqualTo(Kind.ABANDONED);
        assertThat(simulation.starts()).isEqualTo(1);
    }

    @Test
    void refusesNewJobsUntilAllStartsArePermittedAgain() {
        pool.permitStarts(StartPermission.NONE, REASON);
        CallerJobId refused = jobs.submit(SimulatedJobs.URGENT, 1, 100);
        assertThat(jobs.kind(refused)).isEqualTo(Kind.REFUSED);
        pool.permitStarts(StartPermission.ALL_JOBS, "");
        CallerJobId served = jobs.submit(SimulatedJobs.URGENT, 1, 100);
        run(400);
        assertThat(jobs.kind(served)).isEqualTo(Kind.COMPLETED);
    }

    /** Half of the capacity of a server that is slow after an evacuation. */
    @Test
    void startsNothingBeyondTheReducedCapacityOfAServer() {
        pool.assign(simulation.descriptors().stream()
                .map(server -> server.withCpuMillicores(server.cpuMillicores() / 2))
                .toList());
        simulation.runMillis = run -> 300;
        jobs.submit(SimulatedJobs.URGENT, SLOTS, 300);
        run(100);
        assertThat(simulation.servers.values()).allMatch(server -> server.running.size() == 1);
    }
}
