package org.banyanspoke.core.pool.internal;

import java.util.Collection;
import org.banyanspoke.core.pool.FreeRoom;
import org.banyanspoke.core.pool.TaskRequirements;

/** Estimates how long a new job waits, from the free slots of its task size and the queued work that goes before it. */
final class WaitEstimator {
    private WaitEstimator() {}

    /**
     * Returns the estimated wait until the last task of a job starts, or {@link JobProgress#NO_SERVER}.
     *
     * <p>The larger of two estimates applies: the time that all servers take for the work that goes before, and, if
     * tasks have to wait for running ones, the time at which these free slots. The second one counts if the running tasks
     * are longer than the queued ones.
     */
    static long expectedWaitMillis(JobProgress job, Collection<OwnedServer> servers, JobQueue queue, long nowMillis) {
        RoomBuilder builder = new RoomBuilder(servers.size());
        boolean runnable = false;
        for (OwnedServer server : servers) {
            if (isCandidate(server, job)) {
                builder.add(server);
                runnable |= server.descriptor().canRun(job.requirements());
            }
        }
        if (!runnable) {
            return JobProgress.NO_SERVER;
        }
        return (long) expectedWaitMillis(job, builder, queue, nowMillis);
    }

    private static boolean isCandidate(OwnedServer server, JobProgress job) {
        return server.isUsable()
                && server.descriptor().cpuMillicores() >= job.requirements().cpuMillicores()
                && server.descriptor().service().equals(job.job().queuePolicy().service());
    }

    private static double expectedWaitMillis(JobProgress job, RoomBuilder builder, JobQueue queue, long nowMillis) {
        TaskRequirements requirements = job.requirements();
        FreeRoom room = builder.build();
        double totalSlots = room.totalSlots(requirements.cpuMillicores());
        double freeSlots = room.freeSlots(requirements.cpuMillicores());
        double shareBefore = 0;
        double millisBefore = 0;
        for (JobProgress other : queue.all()) {
            if (JobQueue.precedes(other, job.priority(), nowMillis)) {
                double share = poolShare(other, room, nowMillis);
                shareBefore += share;
                millisBefore += share * other.requirements().estimateMillis();
            }
        }
        double ownSlots = job.pendingTasks();
        double ownShare = ownSlots / totalSlots;
        double queueMillis = millisBefore + (ownSlots / 2 - freeSlots) / totalSlots * requirements.estimateMillis();
        double meanQueuedMillis = (millisBefore + ownShare * requirements.estimateMillis()) / (shareBefore + ownShare);
        double missingSlots = (shareBefore + ownShare) * totalSlots - freeSlots;
        double runningMillis = millisUntilStarted(
                missingSlots, freeSlots, meanQueuedMillis, (totalSlots - freeSlots) / builder.meanRunMillis());
        return Math.max(0, Math.max(queueMillis, runningMillis));
    }

    /**
     * Returns the time until the given number of tasks has started. Running tasks free slots at a constant rate, and
     * each slot that is free starts a task again whenever its last one has ended. So after t, the number of starts is
     * freeSlots t / run + rate t + rate t^2 / (2 run).
     *
     * @param tasks number of tasks beyond the free slots
     * @param runMillis run time of the tasks to start
     * @param slotsPerMilli rate at which running tasks free slots
     */
    static double millisUntilStarted(double tasks, double freeSlots, double runMillis, double slotsPerMilli) {
        if (tasks <= 0 || !Double.isFinite(slotsPerMilli) || slotsPerMilli <= 0) {
            return 0;
        }
        double run = Math.max(1, runMillis);
        double linear = freeSlots / run + slotsPerMilli;
        double quadratic = slotsPerMilli / (2 * run);
        return (Math.sqrt(linear * linear + 4 * quadratic * tasks) - linear) / (2 * quadratic);
    }

    /**
     * Returns the pending tasks of a job relative to the slots of their size; 0 if none of them can run here. Tasks that
     * wait for a server near their data delay no others and are left out.
     */
    static double poolShare(JobProgress job, FreeRoom room, long nowMillis) {
        long slots = room.totalSlots(job.requirements().cpuMillicores());
        return slots == 0 ? 0 : (double) job.competingTasks(nowMillis) / slots;
    }
}
