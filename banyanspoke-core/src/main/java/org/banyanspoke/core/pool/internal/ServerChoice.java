package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    /**
     * Returns the servers of one pass over the waiting jobs.
     *
     * @param leastCpu processor share of the smallest waiting task, in thousandths of a core
     */
    Candidates candidates(Collection<OwnedServer> servers, int leastCpu) {
        List<OwnedServer> open = new ArrayList<>();
        Map<String, Double> fastest = new HashMap<>();
        for (OwnedServer server : servers) {
            if (server.usable()) {
                fastest.merge(server.entry().service(), speeds.factor(server.entry()), Math::min);
                if (server.freeCpu() >= leastCpu) {
                    open.add(server);
                }
            }
        }
        return new Candidates(open, fastest);
    }

    /**
     * Servers of one pass. Their room may become less during the pass, and never more.
     *
     * @param open usable servers with room for the smallest waiting task at least
     * @param fastest run time over the estimate on the fastest usable server of each service, with room or without
     */
    record Candidates(List<OwnedServer> open, Map<String, Double> fastest) {
        /** Returns the most room that any server has. */
        int mostFreeCpu() {
            int most = 0;
            for (OwnedServer server : open) {
                most = Math.max(most, server.freeCpu());
            }
            return most;
        }
    }

    /** Returns the server, or null if none has room. */
    OwnedServer choose(JobProgress job, Candidates candidates, long nowMillis) {
        OwnedServer best = null;
        double bestMillis = 0;
        boolean bestInTime = false;
        for (OwnedServer server : candidates.open()) {
            if (!allowed(job, server, nowMillis)) {
                continue;
            }
            double millis = expectedMillis(job.shape(), server.entry());
            if (nowMillis + millis > job.patienceEndMillis()) {
                continue;
            }
            boolean inTime = inTime(job, millis, nowMillis);
            if (best == null || better(inTime, millis, server, bestInTime, bestMillis, best)) {
                best = server;
                bestMillis = millis;
                bestInTime = inTime;
            }
        }
        // While a busy server could still do the task in time, it waits for that one instead of being late for certain.
        return bestInTime || !couldBeInTime(job, candidates, nowMillis) ? best : null;
    }

    private static boolean couldBeInTime(JobProgress job, Candidates candidates, long nowMillis) {
        Double factor = candidates.fastest().get(job.job().terms().service());
        return factor != null && inTime(job, factor * job.shape().estimateMillis(), nowMillis);
    }

    private static boolean inTime(JobProgress job, double millis, long nowMillis) {
        return nowMillis + LENGTH_MARGIN * millis <= job.estimatedTargetMillis();
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
        return entry.service().equals(job.job().terms().service())
                && server.fits(shape.cpuMillicores(), shape.memoryMegabytes(), shape.gpus())
                && server.health().admits(nowMillis, server.runCount())
                && (shape.label().isEmpty() || entry.labels().contains(shape.label()))
                && (shape.maxPerServer() == 0 || job.runsOn(server) < shape.maxPerServer())
                && !job.nextTaskFailedOn(entry.id());
    }
}
