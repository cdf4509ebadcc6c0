package org.banyanspoke.host;

import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PoolEvents;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/** Writes what a pool decides. */
final class PoolLog implements PoolEvents {
    private static final EventLog LOG = EventLog.of(PoolLog.class);

    @Override
    public void ended(PooledJob job, JobOutcome outcome, long waitedMillis, long totalMillis) {
        Logger.Level level = outcome.kind() == JobOutcome.Kind.COMPLETED ? Logger.Level.DEBUG : Logger.Level.INFO;
        LOG.event(level, "job ended")
                .with("job", job.id())
                .with("queue", job.terms().name())
                .with("outcome", outcome.kind())
                .with("reason", outcome.reason())
                .with("waitedMillis", waitedMillis)
                .with("totalMillis", totalMillis)
                .with("tasks", job.tasks())
                .with("estimateMillis", job.shape().estimateMillis())
                .write();
    }

    @Override
    public void serverChanged(ServerId server, String state, String reason) {
        LOG.event(Logger.Level.INFO, "server " + state)
                .with("server", server)
                .with("reason", reason)
                .write();
    }
}
