package org.banyanspoke.core.pool;

import java.util.List;

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
 * @param room capacity by task size
 * @param queuedByPriority queued tasks that can still meet their target, by priority
 * @param meanTaskMillicores mean processor share of the running tasks, in thousandths of a core; 0 if there are none
 * @param largestQueuedMillicores processor share of the largest queued task, in thousandths of a core; 0 if none
 */
public record PoolLoad(
        long capacityMillicores,
        long freeMillicores,
        long queuedCoreMillis,
        int queuedJobs,
        long queuedMillicores,
        long meanRunMillis,
        FreeRoom room,
        List<QueuedCapacity> queuedByPriority,
        int meanTaskMillicores,
        int largestQueuedMillicores) {
    /** Load of a pool without servers. */
    public static final PoolLoad NONE = new PoolLoad(0, 0, 0, 0, 0, 0);
    /** For smaller parts of the largest server the sums are closer than the steps, which are rounded down. */
    private static final int SMALL_TASK_DIVISOR = 16;

    /** Creates the load of a pool that reports sums only. */
    public PoolLoad(
            long capacityMillicores,
            long freeMillicores,
            long queuedCoreMillis,
            int queuedJobs,
            long queuedMillicores,
            long meanRunMillis) {
        this(
                capacityMillicores,
                freeMillicores,
                queuedCoreMillis,
                queuedJobs,
                queuedMillicores,
                meanRunMillis,
                FreeRoom.UNKNOWN,
                List.of(),
                0,
                0);
    }

    /** Returns the number of tasks of a size that fit now; a fraction if the sums are used. */
    public double freeSlots(int cpuMillicores) {
        return usesSteps(cpuMillicores)
                ? room.freeSlots(cpuMillicores)
                : Math.max(0, freeMillicores) / (double) Math.max(1, cpuMillicores);
    }

    /** Returns the number of tasks of a size that fit when all servers are idle; a fraction if the sums are used. */
    public double totalSlots(int cpuMillicores) {
        return usesSteps(cpuMillicores)
                ? room.totalSlots(cpuMillicores)
                : capacityMillicores / (double) Math.max(1, cpuMillicores);
    }

    private boolean usesSteps(int cpuMillicores) {
        return (long) cpuMillicores * SMALL_TASK_DIVISOR > room.total().largestMillicores() && room.isKnown();
    }

    /** Returns the queued capacity that goes before a new job of a priority, in thousandths of a core. */
    public long queuedMillicoresBefore(int priority) {
        if (!room.isKnown()) {
            return queuedMillicores;
        }
        long before = 0;
        for (QueuedCapacity each : queuedByPriority) {
            if (each.priority() <= priority) {
                before += each.millicores();
            }
        }
        return before;
    }

    /** Returns the number of tasks of the largest queued size that fit now; 0 if nothing is queued. */
    public long slotsOfLargestQueued() {
        return largestQueuedMillicores == 0 ? 0 : (long) freeSlots(largestQueuedMillicores);
    }
}
