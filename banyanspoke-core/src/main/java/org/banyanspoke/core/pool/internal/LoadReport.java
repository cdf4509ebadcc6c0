package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.banyanspoke.core.pool.FreeRoom;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.QueuedCapacity;

/** Computes the load of a pool from its servers and its queue. */
final class LoadReport {
    /** Priorities that are reported separately, which bounds the size of a message; lower ones count as the last. */
    private static final int PRIORITIES = 8;

    private final RoomBuilder room;
    private final long[] queuedByPriority = new long[PRIORITIES];
    private double queuedWork;
    private long queuedMillicores;
    private int unstartedJobs;
    private int largestQueued;

    private LoadReport(int servers) {
        this.room = new RoomBuilder(servers);
    }

    static PoolLoad of(Collection<OwnedServer> servers, JobQueue queue, long nowMillis) {
        LoadReport report = new LoadReport(servers.size());
        for (OwnedServer server : servers) {
            if (server.isUsable()) {
                report.room.add(server);
            }
        }
        FreeRoom room = report.room.build();
        for (JobProgress job : queue.all()) {
            report.addQueued(job, room, nowMillis);
        }
        return report.build(room);
    }

    private void addQueued(JobProgress job, FreeRoom free, long nowMillis) {
        int size = job.requirements().cpuMillicores();
        long millicores = (long) job.competingTasks(nowMillis) * size;
        queuedWork += (double) millicores * job.requirements().estimateMillis();
        queuedMillicores += millicores;
        unstartedJobs += job.started() ? 0 : 1;
        if (job.pendingTasks() > 0) {
            largestQueued = Math.max(largestQueued, size);
        }
        if (JobQueue.precedes(job, Integer.MAX_VALUE, nowMillis)) {
            int priority = Math.max(0, Math.min(PRIORITIES - 1, job.priority()));
            queuedByPriority[priority] +=
                    Math.round(WaitEstimator.poolShare(job, free, nowMillis) * room.capacityMillicores());
        }
    }

    private PoolLoad build(FreeRoom free) {
        List<QueuedCapacity> queued = new ArrayList<>();
        for (int priority = 0; priority < PRIORITIES; priority++) {
            if (queuedByPriority[priority] > 0) {
                queued.add(new QueuedCapacity(priority, queuedByPriority[priority]));
            }
        }
        return new PoolLoad(
                room.capacityMillicores(),
                room.freeMillicores(),
                (long) (queuedWork / 1000),
                unstartedJobs,
                queuedMillicores,
                room.meanRunMillis(),
                free,
                List.copyOf(queued),
                room.meanTaskMillicores(),
                largestQueued);
    }
}
