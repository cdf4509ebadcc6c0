package org.banyanspoke.host;

import java.util.List;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolListener;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerCommands.EndKind;
import org.banyanspoke.core.pool.ServerCommands.Status;

/**
 * Forwards each event to all listeners. An unexpected error of one neither keeps the event from others nor reaches the
 * pool, which calls listeners between two steps of a change of its state.
 *
 * @param listeners the listeners, in the order in which they are called
 * @param guard catches unexpected errors of the listeners
 */
record CompositePoolListener(List<PoolListener> listeners, ErrorGuard guard) implements PoolListener {
    @Override
    public void onJobEnded(
            PooledJob job,
            JobOutcome outcome,
            PoolLoad load,
            long expectedWaitMillis,
            long waitedMillis,
            long totalMillis) {
        forEach(each -> each.onJobEnded(job, outcome, load, expectedWaitMillis, waitedMillis, totalMillis));
    }

    @Override
    public void onRunStarted(RunKey run, ServerId server, long expectedMillis) {
        forEach(each -> each.onRunStarted(run, server, expectedMillis));
    }

    @Override
    public void onStartRefused(RunKey run, ServerId server, Status status) {
        forEach(each -> each.onStartRefused(run, server, status));
    }

    @Override
    public void onRunEnded(RunKey run, ServerId server, EndKind kind, long runMillis) {
        forEach(each -> each.onRunEnded(run, server, kind, runMillis));
    }

    @Override
    public void onNearWaitBegun(CallerJobId job, int tasks, long untilMillis) {
        forEach(each -> each.onNearWaitBegun(job, tasks, untilMillis));
    }

    @Override
    public void onNearWaitEnded(CallerJobId job, NearWaitEnd end, long waitedMillis) {
        forEach(each -> each.onNearWaitEnded(job, end, waitedMillis));
    }

    @Override
    public void onServerStateChanged(ServerId server, String state, String reason) {
        forEach(each -> each.onServerStateChanged(server, state, reason));
    }

    private void forEach(Consumer<PoolListener> call) {
        for (PoolListener each : listeners) {
            guard.run("event for " + each.getClass().getSimpleName(), () -> call.accept(each));
        }
    }
}
