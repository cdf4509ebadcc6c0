package org.banyanspoke.core.pool;

import org.banyanspoke.api.ids.ServerId;

/** Told of the decisions of a pool, for logs and metrics. */
public interface PoolEvents {
    /** Ignores everything. */
    PoolEvents NONE = new PoolEvents() {};

    /**
     * A job has ended or was refused.
     *
     * @param load how full the pool is now
     * @param expectedWaitMillis wait that was expected when the job came; -1 if no server could run it
     * @param waitedMillis from its arrival to its first start, or to its end without a start
     * @param totalMillis from its arrival to its end
     */
    default void ended(
            PooledJob job,
            JobOutcome outcome,
            PoolLoad load,
            long expectedWaitMillis,
            long waitedMillis,
            long totalMillis) {}

    /** A run has been ordered. */
    default void started(RunKey run, ServerId server, long expectedMillis) {}

    /** A run has ended or its outcome is settled. */
    default void runEnded(RunKey run, ServerId server, ServerOrders.EndKind kind, long runMillis) {}

    /** What is believed of a server has changed. */
    default void serverChanged(ServerId server, String state, String reason) {}
}
