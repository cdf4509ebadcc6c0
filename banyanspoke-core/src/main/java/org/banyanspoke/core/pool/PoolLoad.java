package org.banyanspoke.core.pool;

/**
 * Load of a server pool.
 *
 * @param capacityMillicores processor capacity of the usable servers, in thousandths of a core
 * @param freeMillicores unused part of that capacity, in thousandths of a core
 * @param queuedCoreMillis queued work by the callers' estimates, in core-milliseconds
 * @param queuedJobs number of queued jobs with no task started
 * @param queuedMillicores processor capacity required by the queued tasks, in thousandths of a core
 * @param meanRunMillis mean expected run time of the running tasks, weighted by their processor share; 0 if there are
 *     none
 */
public record PoolLoad(
        long capacityMillicores,
        long freeMillicores,
        long queuedCoreMillis,
        int queuedJobs,
        long queuedMillicores,
        long meanRunMillis) {
    /** Load of a pool without servers. */
    public static final PoolLoad NONE = new PoolLoad(0, 0, 0, 0, 0, 0);
}
