package org.banyanspoke.core.pool;

import java.util.Collection;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.internal.DefaultServerPool;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * The servers that this process owns, and the jobs that run on them. A server belongs to whoever made it obey the highest
 * fencing token, so no other process starts anything there while it is owned here. Not thread safe: all calls, and all replies
 * to orders, come on one thread.
 */
public interface ServerPool {
    /** Creates a pool that owns nothing. */
    static ServerPool create(
            ServerOrders orders, TokenSource tokens, PoolLimits limits, MonotonicClock clock, PoolEvents events) {
        return new DefaultServerPool(orders, tokens, limits, clock, events);
    }

    /**
     * Sets the servers to own. New ones are claimed. Those that are gone get nothing new and are forgotten once nothing of
     * this process runs there.
     */
    void assign(Collection<ServerEntry> servers);

    /**
     * Takes a job. A job that is in progress already gets a further waiting caller.
     *
     * @param whenEnded told exactly once; at once if the job is refused
     */
    void submit(PooledJob job, Consumer<JobOutcome> whenEnded);

    /** Ends a job and stops its runs, if it is in progress. */
    void cancel(CallerJobId id, String reason);

    /** Ends all jobs, stops their runs on servers that still obey, and forgets all servers: somebody else owns them. */
    void release(String reason);

    /** Does what is due. Must be called every few milliseconds while there are jobs. */
    void tick();

    /** Returns how full the pool is. */
    PoolLoad load();

    /** Returns whether no job is in progress and nothing runs. */
    boolean idle();

    /** Returns whether nothing of this process runs on a server. */
    boolean idle(ServerId server);
}
