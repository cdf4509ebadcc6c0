package org.banyanspoke.host;

import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolEvents;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerOrders.EndKind;

/** Forwards each event to all listeners, in list order. */
record CompositePoolListener(List<PoolEvents> listeners) implements PoolEvents {
    @Override
    public void ended(
            PooledJob job,
            JobOutcome outcome,
            PoolLoad load,
            long expectedWaitMillis,
            long waitedMillis,
            long totalMillis) {
        listeners.forEach(each -> each.ended(job, outcome, load, expectedWaitMillis, waitedMillis, totalMillis));
    }

    @Override
    public void started(RunKey run, ServerId server, long expectedMillis) {
        listeners.forEach(each -> each.started(run, server, expectedMillis));
    }

    @Override
    public void runEnded(RunKey run, ServerId server, EndKind kind, long runMillis) {
        listeners.forEach(each -> each.runEnded(run, server, kind, runMillis));
    }

    @Override
    public void serverChanged(ServerId server, String state, String reason) {
        listeners.forEach(each -> each.serverChanged(server, state, reason));
    }
}
