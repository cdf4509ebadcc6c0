package org.banyanspoke.core.pool;

import org.banyanspoke.api.ids.ServerId;

/** Told of the decisions of a pool, for logs and metrics. */
public interface PoolEvents {
    /** Ignores everything. */
    PoolEvents NONE = new PoolEvents() {};

    /** A job was taken. */
    default void accepted(PooledJob job, long expectedWaitMillis, PoolLoad load) {}

    /** A job has ended. */
    default void ended(PooledJob job, JobOutcome outcome, long waitedMillis, long totalMillis) {}

    /** A run has been ordered. */
    default void started(RunKey run, ServerId server, long expectedMillis) {}

    /** A run has ended or its outcome is settled. */
    default void runEnded(RunKey run, ServerId server, ServerOrders.EndKind kind, long runMillis) {}

    /** What is believed of a server has changed. */
    default void serverChanged(ServerId server, String state, String reason) {}
}
