package org.banyanspoke.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PoolListener.NearWaitEnd;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands.Status;
import org.banyanspoke.core.pool.TaskKey;
import org.banyanspoke.core.pool.TaskRequirements;
import org.junit.jupiter.api.Test;

/** Guards against refusals and latencies that are missing from the metrics. */
class HostMetricsTest {
    private static final ErrorGuard GUARD = new ErrorGuard(System::nanoTime);
    private static final PooledJob JOB = new PooledJob(
            new CallerJobId("00000000000000aa"),
            new QueuePolicy("q", "s", 2, 3, 1.6, 60),
            "",
            1,
            new TaskRequirements(1, 1, 0, 100, "", "", 0),
            0,
            1_000);

    @Test
    void exportsRefusalsLatenciesAndGauges() {
        HostMetrics metrics = new HostMetrics();
        metrics.gauge("peers.heard", () -> 7);
        metrics.answered(JOB, JobOutcome.refused("full", 1), 5);
        metrics.onJobEnded(JOB, JobOutcome.refused("full", 1), PoolLoad.NONE, 40, 5, 5);
        assertThat(metrics.text())
                .contains("entry_answers_REFUSED 1.0")
                .contains("pool_jobs_REFUSED 1.0")
                .contains("pool_waiting_millis_2")
                .contains("peers_heard 7.0");
    }

    /** Guards against refused starts that the composite listener does not pass on. */
    @Test
    void exportsRefusedStarts() {
        HostMetrics metrics = new HostMetrics();
        PoolListener listener = new CompositePoolListener(List.of(metrics), GUARD);
        RunKey run = new RunKey(new TaskKey(JOB.id(), 0), 1);
        listener.onStartRefused(run, new ServerId("s1"), Status.TOO_LATE);
        assertThat(metrics.text()).contains("pool_starts_refused_TOO_LATE 1.0");
    }

    /** Guards against waits that the composite listener does not pass on. */
    @Test
    void exportsWaitsForNearServers() {
        HostMetrics metrics = new HostMetrics();
        PoolListener listener = new CompositePoolListener(List.of(metrics), GUARD);
        listener.onNearWaitBegun(JOB.id(), 2, 1_000);
        listener.onNearWaitEnded(JOB.id(), NearWaitEnd.NEAR, 30);
        listener.onNearWaitEnded(JOB.id(), NearWaitEnd.FAR, 40);
        assertThat(metrics.text())
                .contains("pool_near_waits 2.0")
                .contains("pool_near_wait_ends_NEAR 1.0")
                .contains("pool_near_wait_ends_FAR 1.0")
                .contains("pool_near_wait_millis 70.0");
    }
}
