package org.banyanspoke.host;

import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands.EndKind;
import org.banyanspoke.core.pool.ServerCommands.Status;

/** Forwards each event to all listeners, in list order. */
record CompositePoolListener(List<PoolListener> listeners) implements PoolListener {
    @Override
    public void onJobEnded(
            PooledJob job,
            JobOutcome outcome,
            PoolLoad load,
            long expectedWaitMillis,
            long waitedMillis,
            long totalMillis) {
        listeners.forEach(each -> each.onJobEnded(job, outcome, load, expectedWaitMillis, waitedMillis, totalMillis));
    }

    @Override
    public void onRunStarted(RunKey run, ServerId server, long expectedMillis) {
        listeners.forEach(each -> each.onRunStarted(run, server, expectedMillis));
    }

    @Override
    public void onStartRefused(RunKey run, ServerId server, Status status) {
        listeners.forEach(each -> each.onStartRefused(run, server, status));
    }

    @Override
    public void onRunEnded(RunKey run, ServerId server, EndKind kind, long runMillis) {
        listeners.forEach(each -> each.onRunEnded(run, server, kind, runMillis));
    }

    @Override
    public void onNearWaitBegun(CallerJobId job, int tasks, long untilMillis) {
        listeners.forEach(each -> each.onNearWaitBegun(job, tasks, untilMillis));
    }

    @Override
    public void onNearWaitEnded(CallerJobId job, NearWaitEnd end, long waitedMillis) {
        listeners.forEach(each -> each.onNearWaitEnded(job, end, waitedMillis));
    }

    @Override
    public void onServerStateChanged(ServerId server, String state, String reason) {
        listeners.forEach(each -> each.onServerStateChanged(server, state, reason));
    }
}
