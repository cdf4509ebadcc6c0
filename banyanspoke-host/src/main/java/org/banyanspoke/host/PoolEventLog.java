package org.banyanspoke.host;

import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands.EndKind;

/** Logs jobs and runs of a pool that did not complete successfully, and state changes of its backend servers. */
final class PoolEventLog implements PoolListener {
    private final RequestLog log;

    PoolEventLog(RequestLog log) {
        this.log = log;
    }

    @Override
    public void onJobEnded(
            PooledJob job,
            JobOutcome outcome,
            PoolLoad load,
            long expectedWaitMillis,
            long waitedMillis,
            long totalMillis) {
        RequestLog.Kind kind =
                switch (outcome.kind()) {
                    case COMPLETED -> null;
                    case REFUSED -> RequestLog.Kind.REFUSED;
                    default -> RequestLog.Kind.NOT_DONE;
                };
        if (kind == null || !log.tryAcquire(kind)) {
            return;
        }
        log.line(kind, "dispatcher ended job without completion")
                .with("job", job.id())
                .with("queue", job.queuePolicy().name())
                .with("priority", job.queuePolicy().priority())
                .with("outcome", outcome.kind())
                .with("reason", outcome.reason())
                .with("tasks", job.tasks())
                .with("estimateMillis", job.requirements().estimateMillis())
                .with("patienceMillis", job.callerTimeoutMillis())
                .with("expectedWaitMillis", expectedWaitMillis)
                .with("waitedMillis", waitedMillis)
                .with("totalMillis", totalMillis)
                .with("capacityMillicores", load.capacityMillicores())
                .with("freeMillicores", load.freeMillicores())
                .with("queuedCoreMillis", load.queuedCoreMillis())
                .with("cpuMillicores", job.requirements().cpuMillicores())
                .with("slots", (long) load.freeSlots(job.requirements().cpuMillicores()))
                .with("totalSlots", (long) load.totalSlots(job.requirements().cpuMillicores()))
                .write();
    }

    @Override
    public void onRunEnded(RunKey run, ServerId server, EndKind kind, long runMillis) {
        if (kind == EndKind.DONE || !log.tryAcquire(RequestLog.Kind.RUN_LOST)) {
            return;
        }
        log.line(RequestLog.Kind.RUN_LOST, "run ended without result")
                .with("job", run.task().job())
                .with("task", run.task().index())
                .with("run", run.number())
                .with("server", server)
                .with("end", kind)
                .with("runMillis", runMillis)
                .write();
    }

    @Override
    public void onNearWaitEnded(CallerJobId job, NearWaitEnd end, long waitedMillis) {
        if (end != NearWaitEnd.FAR || !log.tryAcquire(RequestLog.Kind.NEAR_WAIT)) {
            return;
        }
        log.line(RequestLog.Kind.NEAR_WAIT, "task started far from its data after a wait")
                .with("job", job)
                .with("waitedMillis", waitedMillis)
                .write();
    }

    @Override
    public void onServerStateChanged(ServerId server, String state, String reason) {
        if (log.tryAcquire(RequestLog.Kind.SERVER)) {
            log.line(RequestLog.Kind.SERVER, "server " + state)
                    .with("server", server)
                    .with("reason", reason)
                    .write();
        }
    }
}
