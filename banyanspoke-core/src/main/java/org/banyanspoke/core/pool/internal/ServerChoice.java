package org.banyanspoke.core.pool.internal;

import java.util.Collection;
import org.banyanspoke.core.pool.ServerEntry;
import org.banyanspoke.core.pool.TaskShape;

/**
 * Chooses the server of the next task of a job: the slowest one on which the task still ends in time, so that fast servers
 * stay free for long tasks; if none can, even a busy one, the one on which it ends first. Among equals the one that is left fullest.
 */
final class ServerChoice {
    /** Tasks of a job differ in length, and the longest one decides whether the job is in time. */
    private static final double LENGTH_MARGIN = 1.1;

    private final SpeedModel speeds;
    private final double farFactor;

    ServerChoice(SpeedModel speeds, double farFactor) {
        this.speeds = speeds;
        this.farFactor = farFactor;
    }

    /** Returns the server, or null if none has room. */
    OwnedServer choose(JobProgress job, Collection<OwnedServer> servers, long nowMillis) {
        OwnedServer best = null;
        double bestMillis = 0;
        boolean bestInTime = false;
        boolean couldBeInTime = false;
        for (OwnedServer server : servers) {
            if (!server.usable()
                    || !server.entry().service().equals(job.job().terms().service())) {
                continue;
            }
            double millis = expectedMillis(job.shape(), server.entry());
            boolean inTime = nowMillis + LENGTH_MARGIN * millis <= job.estimatedTargetMillis();
            couldBeInTime |= inTime;
            if (!allowed(job, server, nowMillis) || nowMillis + millis > job.patienceEndMillis()) {
                continue;
            }
            if (best == null || better(inTime, millis, server, bestInTime, bestMillis, best)) {
                best = server;
                bestMillis = millis;
                bestInTime = inTime;
            }
        }
        // While a busy server could still do the task in time, it waits for that one instead of being late for certain.
        return bestInTime || !couldBeInTime ? best : null;
    }

    double expectedMillis(TaskShape shape, ServerEntry server) {
        double millis = speeds.expectedMillis(server, shape.estimateMillis());
        boolean far = !shape.rack().isEmpty() && !server.labels().contains(shape.rack());
        return far ? millis * farFactor : millis;
    }

    private static boolean better(
            boolean inTime,
            double millis,
            OwnedServer server,
            boolean bestInTime,
            double bestMillis,
            OwnedServer best) {
        if (inTime != bestInTime) {
            return inTime;
        }
        if (Math.abs(millis - bestMillis) > 1) {
            return inTime ? millis > bestMillis : millis < bestMillis;
        }
        return server.freeCpu() < best.freeCpu();
    }

    private static boolean allowed(JobProgress job, OwnedServer server, long nowMillis) {
        TaskShape shape = job.shape();
        ServerEntry entry = server.entry();
        return server.fits(shape.cpuMillicores(), shape.memoryMegabytes(), shape.gpus())
                && server.health().admits(nowMillis, server.runCount())
                && (shape.label().isEmpty() || entry.labels().contains(shape.label()))
                && (shape.maxPerServer() == 0 || job.runsOn(server) < shape.maxPerServer())
                && !job.nextTaskFailedOn(entry.id());
    }
}
