package org.banyanspoke.core.pool;

/**
 * How full a pool is.
 *
 * @param capacityMillicores processor capacity of its usable servers, in thousandths of a core
 * @param freeMillicores of which free
 * @param queuedCoreMillis work that waits, in core-milliseconds by the callers' estimates
 * @param queuedJobs jobs of which no task has started
 * @param queuedMillicores processor share that the waiting tasks need, in thousandths of a core
 * @param runMillis how long the running tasks take on average, weighted by their processor share; 0 if none runs
 */
public record PoolLoad(
        long capacityMillicores,
        long freeMillicores,
        long queuedCoreMillis,
        int queuedJobs,
        long queuedMillicores,
        long runMillis) {
    /** A pool without servers. */
    public static final PoolLoad NONE = new PoolLoad(0, 0, 0, 0, 0, 0);
}
