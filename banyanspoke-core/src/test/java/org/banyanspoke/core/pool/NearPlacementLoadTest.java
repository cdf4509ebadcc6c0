package org.banyanspoke.core.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.JobOutcome.Kind;
import org.banyanspoke.core.pool.PoolListener.NearWaitEnd;
import org.banyanspoke.core.pool.SimulatedServers.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks the placement of tasks that name the rack of their data, under load and when near servers fail. */
class NearPlacementLoadTest {
    private static final String RACK = "rack-1";
    private static final String OTHER_RACK = "rack-2";
    private static final double FAR_FACTOR = 2;
    /** Only a near run of 100 ms is in time: 100 ms * 1.6 + 50 ms. */
    private static final QueuePolicy STRICT = new QueuePolicy("strict", "service", 1, 3, 1.6, 50);

    private static final QueuePolicy LENIENT = new QueuePolicy("lenient", "service", 0, 3, 10, 1_000);
    /** Target of a job with an estimate of 200 ms; the simulated tasks take up to 1.2 times their estimate. */
    private static final long TARGET_MILLIS = (long) (1.6 * 1.2 * 200) + 60;

    private final SimulatedServers simulation = new SimulatedServers();
    private final Random random = new Random(20_261_206);
    private long nearStarts;
    private long farStarts;
    private int waitsBegun;
    private long waitedMillis;
    private final Map<NearWaitEnd, Integer> waitEnds = new EnumMap<>(NearWaitEnd.class);
    private final ServerPool pool = newPool();
    private final SimulatedJobs jobs = new SimulatedJobs(simulation, pool);

    private ServerPool newPool() {
        return SimulatedPools.create(simulation, FAR_FACTOR, new Starts());
    }

    private final class Starts implements PoolListener {
        @Override
        public void onRunStarted(RunKey run, ServerId server, long expectedMillis) {
            String rack = jobs.rack(run.task().job());
            if (simulation.servers.get(server).descriptor.hasLabel(rack)) {
                nearStarts++;
            } else {
                farStarts++;
            }
        }

        @Override
        public void onNearWaitBegun(CallerJobId job, int tasks, long untilMillis) {
            waitsBegun += tasks;
        }

        @Override
        public void onNearWaitEnded(CallerJobId job, NearWaitEnd end, long millis) {
            waitEnds.merge(end, 1, Integer::sum);
            waitedMillis += millis;
        }
    }

    private void addServers(int near, int far) {
        for (int i = 0; i < near; i++) {
            simulation.add("n" + i, List.of("a", RACK), 16_000);
        }
        for (int i = 0; i < far; i++) {
            simulation.add("f" + i, List.of("a", OTHER_RACK), 16_000);
        }
        simulation.placementFactor =
                (run, server) -> server.hasLabel(jobs.rack(run.task().job())) ? 1 : FAR_FACTOR;
        simulation.runMillis = run -> (long) (jobs.estimate(run.task().job()) * (0.8 + 0.4 * random.nextDouble()));
        pool.assign(simulation.descriptors());
        simulation.run(pool, 100);
    }

    private void submitSteadily(
            QueuePolicy policy, long estimateMillis, String rack, double perSecond, long forMillis) {
        for (double at = 0; at < forMillis; at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond) {
            simulation.after((long) at, () -> jobs.submitWithRack(policy, 2, estimateMillis, rack));
        }
    }

    private double fractionInTime(QueuePolicy policy) {
        return (double) jobs.completedWithin(policy, TARGET_MILLIS) / jobs.sent(policy);
    }

    @AfterEach
    void hasNoViolations() {
        assertThat(simulation.violations).isEmpty();
    }

    /** Fills both slots of a server with tasks whose run time may differ from their estimate. */
    private void occupyNear(long estimateMillis, long actualMillis) {
        CallerJobId id = jobs.submitWithRack(LENIENT, 2, estimateMillis, RACK);
        simulation.runMillis = run -> run.task().job().equals(id) ? actualMillis : 100;
        simulation.run(pool, 20);
    }

    @Nested
    class ManyJobsWantOneRack {
        /** Without an estimate of the wait, tasks waited for the rack until they were late, and then ran far. */
        @Test
        void moreOfThemAreInTime() {
            addServers(6, 6);
            submitSteadily(SimulatedJobs.NORMAL, 200, RACK, 40, 20_000);
            submitSteadily(SimulatedJobs.URGENT, 200, "", 5, 20_000);
            simulation.run(pool, 23_000);
            assertThat(fractionInTime(SimulatedJobs.NORMAL)).isGreaterThan(0.4);
            assertThat(fractionInTime(SimulatedJobs.URGENT)).isGreaterThan(0.95);
        }

        /** Guards against tasks that all wait for the end of the same run. */
        @Test
        void onlyAsManyTasksWaitAsRunsEnd() {
            addServers(1, 4);
            occupyNear(100, 100);
            jobs.submitWithRack(STRICT, 6, 100, RACK);
            assertThat(waitsBegun).isEqualTo(2);
            assertThat(farStarts).isEqualTo(4);
            simulation.run(pool, 1_000);
            assertThat(waitEnds).containsOnly(Map.entry(NearWaitEnd.NEAR, 2));
            assertThat(waitedMillis).isBetween(100L, 300L);
        }

        /** Guards against waiting tasks that hold up others or count as work ahead of them. */
        @Test
        void otherJobsUseTheFreeCapacityMeanwhile() {
            addServers(1, 1);
            occupyNear(100, 100);
            jobs.submitWithRack(STRICT, 1, 100, RACK);
            assertThat(waitsBegun).isEqualTo(1);
            assertThat(pool.load().queuedMillicores()).isZero();
            long startsBefore = farStarts + nearStarts;
            jobs.submitWithRack(SimulatedJobs.LONG, 2, 100, "");
            assertThat(farStarts + nearStarts - startsBefore).isEqualTo(2);
        }
    }

    @Nested
    class NearServersIdle {
        /** Short tasks were placed far although near servers were free, because the far run was in time as well. */
        @Test
        void tasksRunNear() {
            addServers(4, 4);
            submitSteadily(SimulatedJobs.NORMAL, 60, RACK, 10, 5_000);
            simulation.run(pool, 6_000);
            assertThat(farStarts).isZero();
            assertThat(waitsBegun).isZero();
        }

        /** Guards against a wait for a rack that has no usable server in this zone. */
        @Test
        void tasksOfAnUnknownRackRunFarAtOnce() {
            addServers(2, 2);
            jobs.submitWithRack(SimulatedJobs.NORMAL, 2, 200, "rack-elsewhere");
            assertThat(farStarts).isEqualTo(2);
        }
    }

    @Nested
    class ANearServerThatDies {
        /** Guards against tasks that wait for a server which is no longer there. */
        @Test
        void isNotWaitedFor() {
            addServers(1, 2);
            occupyNear(100, 100);
            CallerJobId job = jobs.submitWithRack(STRICT, 1, 100, RACK);
            Server near = simulation.servers.get(new ServerId("n0"));
            near.reachable = false;
            near.running.clear();
            assertThat(waitsBegun).isEqualTo(1);
            simulation.run(pool, 600);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
            assertThat(waitEnds).containsOnly(Map.entry(NearWaitEnd.FAR, 1));
        }
    }

    @Nested
    class AnEstimateThatIsNeverMet {
        /** Guards against a wait that is prolonged again and again. */
        @Test
        void endsTheWait() {
            addServers(1, 2);
            occupyNear(100, 5_000);
            CallerJobId job = jobs.submitWithRack(STRICT, 1, 100, RACK);
            assertThat(waitsBegun).isEqualTo(1);
            simulation.run(pool, 150);
            assertThat(waitEnds).containsOnly(Map.entry(NearWaitEnd.FAR, 1));
            simulation.run(pool, 250);
            assertThat(jobs.kind(job)).isEqualTo(Kind.COMPLETED);
        }
    }

    @Nested
    class AJobThatEndsWhileItWaits {
        /** Guards against waits that are counted as begun and never as ended. */
        @Test
        void endsItsWait() {
            addServers(1, 2);
            occupyNear(100, 100);
            CallerJobId job = jobs.submitWithRack(STRICT, 1, 100, RACK);
            pool.cancel(job, "caller disconnected");
            assertThat(waitEnds).containsOnly(Map.entry(NearWaitEnd.NOT_STARTED, 1));
        }
    }
}
