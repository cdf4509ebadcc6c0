package org.banyanspoke.core.pool;

import java.util.Collection;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.internal.DefaultServerPool;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Schedules jobs on the backend servers that this process owns. A server is owned by the process with the highest
 * fencing token that the server has seen, so no other process can start tasks on it meanwhile. Not thread safe: all
 * calls and all replies to commands must come on one thread.
 */
public interface ServerPool {
    /**
     * Creates a pool without servers.
     *
     * @param inputClock time up to which the replies of servers that have arrived have been read; behind the clock after
     *     the process was suspended
     * @param contact tells whether the callers of jobs still wait
     */
    static ServerPool create(
            ServerCommands commands,
            FencingTokenSource tokens,
            PoolSettings settings,
            MonotonicClock clock,
            MonotonicClock inputClock,
            CallerContact contact,
            PoolListener listener) {
        return new DefaultServerPool(commands, tokens, settings, clock, inputClock, contact, listener);
    }

    /**
     * Sets the servers to own. New servers are claimed. Servers that are no longer assigned get no new tasks and are
     * removed once no run of this process is left on them.
     */
    void assign(Collection<ServerDescriptor> servers);

    /**
     * Submits a job. If a job with this id is already in progress, the callback is added to it. Its tasks start only
     * while there is contact with its caller; until then it waits.
     *
     * @param onOutcome called exactly once; called immediately if the job is refused
     */
    void submit(PooledJob job, Consumer<JobOutcome> onOutcome);

    /**
     * Restricts the tasks that start from now on, until the next call. Jobs with pending tasks that may not start end at
     * once: those without a started task are refused, the others are abandoned and their runs stopped. Runs of other
     * jobs continue and their leases are renewed. New jobs are refused unless {@link StartPermission#ALL_JOBS} applies.
     *
     * @param reason reason of the restriction, given to the callers
     */
    void permitStarts(StartPermission permission, String reason);

    /** Cancels a job and stops its runs if it is in progress. */
    void cancel(CallerJobId id, String reason);

    /**
     * Ends all jobs, sends a stop for each of their runs, and removes all servers, because another process owns them.
     */
    void release(String reason);

    /** Performs all due actions. Must be called every few milliseconds while there are jobs. */
    void tick();

    /** Returns the current load of the pool. */
    PoolLoad load();

    /** Returns whether no job is in progress and no run is left. */
    boolean isIdle();

    /** Returns whether no run is left on a server. */
    boolean isIdle(ServerId server);
}
