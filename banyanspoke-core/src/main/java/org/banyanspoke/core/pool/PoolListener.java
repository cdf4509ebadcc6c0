package org.banyanspoke.core.pool;

import org.banyanspoke.api.ids.ServerId;

/** Receives the decisions of a server pool, for logs and metrics. */
public interface PoolListener {
    /** Listener that ignores all events. */
    PoolListener NONE = new PoolListener() {};

    /**
     * Called when a job has ended or was refused.
     *
     * @param load current load of the pool
     * @param expectedWaitMillis wait that was expected on submission; -1 if no server could run the job
     * @param waitedMillis time from arrival to the first start, or to the end if no task was started
     * @param totalMillis time from arrival to the end
     */
    default void onJobEnded(
            PooledJob job,
            JobOutcome outcome,
            PoolLoad load,
            long expectedWaitMillis,
            long waitedMillis,
            long totalMillis) {}

    /** Called when the start of a run is about to be sent to a server. */
    default void onRunStarted(RunKey run, ServerId server, long expectedMillis) {}

    /** Called when a server has refused a start command, or the command could not be delivered; nothing has started. */
    default void onStartRefused(RunKey run, ServerId server, ServerCommands.Status status) {}

    /** Called when a run has ended or can no longer be on its server. */
    default void onRunEnded(RunKey run, ServerId server, ServerCommands.EndKind kind, long runMillis) {}

    /** How the wait of a task for a server near its data has ended. */
    enum NearWaitEnd {
        /** Started near its data. */
        NEAR,
        /** Started elsewhere. */
        FAR,
        /** The job ended first. */
        NOT_STARTED
    }

    /**
     * Called when tasks begin to wait for servers near their data although others are free.
     *
     * @param untilMillis time on the pool's clock at which they wait no longer
     */
    default void onNearWaitBegun(CallerJobId job, int tasks, long untilMillis) {}

    /** Called when the wait of one task for a server near its data has ended. */
    default void onNearWaitEnded(CallerJobId job, NearWaitEnd end, long waitedMillis) {}

    /** Called when the pool's view of a server's state has changed. */
    default void onServerStateChanged(ServerId server, String state, String reason) {}
}
