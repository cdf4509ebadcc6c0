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
 * to the server with the least free capacity. A server near the task's data comes first if it meets the target.
 */
final class ServerSelector {
    /**
     * Allows for tasks of a job that differ in run time: the longest one determines whether the job meets its target.
     */
    static final double RUN_TIME_MARGIN = 1.1;

    private final RunTimeModel runTimes;
    private final NearPlacement nearPlacement;

    ServerSelector(RunTimeModel runTimes, NearPlacement nearPlacement) {
        this.runTimes = runTimes;
        this.nearPlacement = nearPlacement;
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
        return new Candidates(servers, available, fastestFactors, nearPlacement.new Pass(servers, runTimes::factor));
    }

    /**
     * Candidate servers of one pass. Their free capacity may decrease during the pass but never increases.
     *
     * @param all all servers of the pool
     * @param available usable servers with enough free processor capacity for the smallest pending task
     * @param fastestFactors ratio of run time to estimate on the fastest usable server of each service, busy ones
     *     included
     * @param near decisions on tasks that name the rack of their data
     */
    record Candidates(
            Collection<OwnedServer> all,
            List<OwnedServer> available,
            Map<String, Double> fastestFactors,
            NearPlacement.Pass near) {
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
        return job.isLastAttemptNext()
                ? selectForLastAttempt(job, candidates, nowMillis)
                : selectFrom(candidates.available(), job, candidates, nowMillis);
    }

    private OwnedServer selectForLastAttempt(JobProgress job, Candidates candidates, long nowMillis) {
        LastAttempt lastAttempt = new LastAttempt(candidates.all(), server -> expectedMillis(job, server));
        List<OwnedServer> trusted = lastAttempt.trusted();
        List<OwnedServer> available = new ArrayList<>(candidates.available());
        available.retainAll(trusted);
        OwnedServer server = selectFrom(available, job, candidates, nowMillis);
        if (server != null || lastAttempt.waits(job, trusted, nowMillis)) {
            return server;
        }
        return selectFrom(candidates.available(), job, candidates, nowMillis);
    }

    private OwnedServer selectFrom(
            List<OwnedServer> available, JobProgress job, Candidates candidates, long nowMillis) {
        boolean rackMatters = nearPlacement.concerns(job);
        OwnedServer best = null;
        double bestMillis = 0;
        boolean bestInTime = false;
        boolean bestNear = false;
        double fastestMillis = Double.MAX_VALUE;
        for (OwnedServer server : available) {
            if (!isEligible(job, server, nowMillis)) {
                continue;
            }
            double millis = expectedMillis(job, server.descriptor());
            if (nowMillis + millis > job.callerDeadlineMillis()) {
                continue;
            }
            fastestMillis = Math.min(fastestMillis, millis);
            boolean inTime = isInTime(job, millis, nowMillis);
            boolean near = rackMatters && inTime && NearPlacement.isNear(job, server.descriptor());
            if (best == null
                    || (near != bestNear ? near : isBetter(inTime, millis, server, bestInTime, bestMillis, best))) {
                best = server;
                bestMillis = millis;
                bestInTime = inTime;
                bestNear = near;
            }
        }
        if (best == null) {
            candidates.near().skip(job);
            return null;
        }
        if (rackMatters && !bestNear && candidates.near().waits(job, fastestMillis, nowMillis)) {
            return null;
        }
        // If a server that is now busy could still meet the target, the task waits for it rather than being certainly
        // late.
        return bestInTime || !canBeInTime(job, candidates, nowMillis) ? best : null;
    }

    /** Returns the shortest expected run time of a task on another server with room, or infinity if there is none. */
    double shortestMillisElsewhere(
            JobProgress job, OwnedServer present, Collection<OwnedServer> servers, long nowMillis) {
        double shortestMillis = Double.POSITIVE_INFINITY;
        for (OwnedServer server : servers) {
            if (server != present && server.isUsable() && accepts(server, job, nowMillis)) {
                shortestMillis = Math.min(shortestMillis, expectedMillis(job, server.descriptor()));
            }
        }
        return shortestMillis;
    }

    /** Near servers are left out here if the rack matters, as the wait for them is bounded. */
    private boolean canBeInTime(JobProgress job, Candidates candidates, long nowMillis) {
        Double factor = candidates.fastestFactors().get(job.job().queuePolicy().service());
        if (factor == null) {
            return false;
        }
        double millis = factor * job.requirements().estimateMillis() * nearPlacement.farFactor(job);
        return isInTime(job, millis, nowMillis);
    }

    private static boolean isInTime(JobProgress job, double millis, long nowMillis) {
        return nowMillis + RUN_TIME_MARGIN * millis <= job.estimatedTargetMillis();
    }

    double expectedMillis(JobProgress job, ServerDescriptor server) {
        return runTimes.expectedMillis(server, job.requirements().estimateMillis())
                * nearPlacement.runTimeFactor(job, server);
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
        return accepts(server, job, nowMillis)
                && !job.isNextTaskExcludedFrom(server.descriptor().id());
    }

    /** Returns whether a server has room for a task of a job, has its label and may get another task. */
    private static boolean accepts(OwnedServer server, JobProgress job, long nowMillis) {
        TaskRequirements requirements = job.requirements();
        ServerDescriptor descriptor = server.descriptor();
        return descriptor.service().equals(job.job().queuePolicy().service())
                && server.fits(requirements)
                && server.circuitBreaker().allows(nowMillis, server.runCount())
                && descriptor.hasLabel(requirements.label())
                && (requirements.maxPerServer() == 0 || job.runsOn(server) < requirements.maxPerServer());
    }
}
