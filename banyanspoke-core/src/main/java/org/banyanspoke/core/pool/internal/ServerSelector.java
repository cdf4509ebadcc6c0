package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.TaskRequirements;

/**
 * Selects the server for the next task of a job: the slowest one on which the task still meets its target, so that fast
 * servers stay free for long tasks. If no server, busy ones included, can meet the target, selects the fastest. Ties go
 * to the server with the least free capacity.
 */
final class ServerSelector {
    /**
     * Allows for tasks of a job that differ in run time: the longest one determines whether the job meets its target.
     */
    private static final double RUN_TIME_MARGIN = 1.1;

    private final RunTimeModel runTimes;
    private final double remoteRackFactor;

    ServerSelector(RunTimeModel runTimes, double remoteRackFactor) {
        this.runTimes = runTimes;
        this.remoteRackFactor = remoteRackFactor;
    }

    /**
     * Returns the candidate servers for one pass over the queued jobs.
     *
     * @param minCpuMillicores smallest processor share of a pending task, in thousandths of a core
     */
    Candidates candidates(Collection<OwnedServer> servers, int minCpuMillicores) {
        List<OwnedServer> available = new ArrayList<>();
        Map<String, Double> fastestFactors = new HashMap<>();
        for (OwnedServer server : servers) {
            if (server.isUsable()) {
                fastestFactors.merge(server.descriptor().service(), runTimes.factor(server.descriptor()), Math::min);
                if (server.freeCpu() >= minCpuMillicores) {
                    available.add(server);
                }
            }
        }
        return new Candidates(available, fastestFactors);
    }

    /**
     * Candidate servers of one pass. Their free capacity may decrease during the pass but never increases.
     *
     * @param available usable servers with enough free processor capacity for the smallest pending task
     * @param fastestFactors ratio of run time to estimate on the fastest usable server of each service, busy ones
     *     included
     */
    record Candidates(List<OwnedServer> available, Map<String, Double> fastestFactors) {
        /** Returns the largest free processor capacity of any server, in thousandths of a core. */
        int maxFreeCpu() {
            int max = 0;
            for (OwnedServer server : available) {
                max = Math.max(max, server.freeCpu());
            }
            return max;
        }
    }

    /** Returns the selected server, or null if none is eligible or the task should wait for a busy one. */
    OwnedServer select(JobProgress job, Candidates candidates, long nowMillis) {
        OwnedServer best = null;
        double bestMillis = 0;
        boolean bestInTime = false;
        for (OwnedServer server : candidates.available()) {
            if (!isEligible(job, server, nowMillis)) {
                continue;
            }
            double millis = expectedMillis(job.requirements(), server.descriptor());
            if (nowMillis + millis > job.callerDeadlineMillis()) {
                continue;
            }
            boolean inTime = isInTime(job, millis, nowMillis);
            if (best == null || isBetter(inTime, millis, server, bestInTime, bestMillis, best)) {
                best = server;
                bestMillis = millis;
                bestInTime = inTime;
            }
        }
        // If a server that is now busy could still meet the target, the task waits for it rather than being certainly
        // late.
        return bestInTime || !canBeInTime(job, candidates, nowMillis) ? best : null;
    }

    private static boolean canBeInTime(JobProgress job, Candidates candidates, long nowMillis) {
        Double factor = candidates.fastestFactors().get(job.job().queuePolicy().service());
        return factor != null && isInTime(job, factor * job.requirements().estimateMillis(), nowMillis);
    }

    private static boolean isInTime(JobProgress job, double millis, long nowMillis) {
        return nowMillis + RUN_TIME_MARGIN * millis <= job.estimatedTargetMillis();
    }

    double expectedMillis(TaskRequirements requirements, ServerDescriptor server) {
        double millis = runTimes.expectedMillis(server, requirements.estimateMillis());
        boolean remoteRack = !requirements.rack().isEmpty() && !server.labels().contains(requirements.rack());
        return remoteRack ? millis * remoteRackFactor : millis;
    }

    private static boolean isBetter(
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

    private static boolean isEligible(JobProgress job, OwnedServer server, long nowMillis) {
        TaskRequirements requirements = job.requirements();
        ServerDescriptor descriptor = server.descriptor();
        return descriptor.service().equals(job.job().queuePolicy().service())
                && server.fits(requirements)
                && server.circuitBreaker().allows(nowMillis, server.runCount())
                && descriptor.hasLabel(requirements.label())
                && (requirements.maxPerServer() == 0 || job.runsOn(server) < requirements.maxPerServer())
                && !job.nextTaskFailedOn(descriptor.id());
    }
}
