package org.banyanspoke.bench;

import java.util.List;
import java.util.Map;

/**
 * Result of a run, printed as one JSON object; docs/bench.md defines each figure. A figure that a run did not measure is
 * null.
 *
 * @param scenario scenario name
 * @param seed seed
 * @param shape site
 * @param policy policy of the daemons
 * @param scale hosts and servers relative to the site
 * @param hosts entry hosts
 * @param servers backend servers
 * @param seconds measured time in seconds
 * @param jobs jobs in the results
 * @param tasks tasks of these jobs
 * @param responseRatioP50 median of response time over ideal
 * @param responseRatioP90 90th percentile
 * @param responseRatioP99 99th percentile
 * @param wastedMessagesPerTask wasted messages for each task started
 * @param wastedByKind the same, split into backend, peer and platform
 * @param keptServiceRatio completed within contract in the flood over without
 * @param contractsMet share of jobs completed within their promise
 * @param duplicateStarts starts beyond the first of each task
 * @param lostTasks tasks of jobs without any response
 * @param partialAnswers complete responses that lack results or hold those of others
 * @param startsPerSecond task starts a second in the measured time
 * @param controlCpuPercent processor use of the control thread of a host, in percent of a core
 * @param controlBytesPerSecond control bytes a host sends and receives a second
 * @param controlHeapMegabytes heap of the control state of a host
 * @param hostCpuPercent processor use of a whole host process, in percent of a core
 * @param loadAverage load average of the machine at the end, over one minute; a run on a busy machine is a trial
 * @param outcomes jobs by state or error kind
 * @param outcomesByTeam the same by team
 * @param shareToFailingServer share of the tasks started later than 1 s after the fault that went to the failing server
 * @param exitCodes exit codes of restarted hosts, in order
 * @param faultErrors faults that could not be set
 */
public record Report(
        String scenario,
        long seed,
        String shape,
        String policy,
        double scale,
        int hosts,
        int servers,
        double seconds,
        long jobs,
        long tasks,
        Double responseRatioP50,
        Double responseRatioP90,
        Double responseRatioP99,
        Double wastedMessagesPerTask,
        Map<String, Double> wastedByKind,
        Double keptServiceRatio,
        double contractsMet,
        long duplicateStarts,
        long lostTasks,
        long partialAnswers,
        double startsPerSecond,
        Double controlCpuPercent,
        Double controlBytesPerSecond,
        Double controlHeapMegabytes,
        double hostCpuPercent,
        double loadAverage,
        Map<String, Long> outcomes,
        Map<String, Map<String, Long>> outcomesByTeam,
        Double shareToFailingServer,
        List<Integer> exitCodes,
        List<String> faultErrors) {
    /** Copies the lists. */
    public Report {
        exitCodes = List.copyOf(exitCodes);
        faultErrors = List.copyOf(faultErrors);
    }
}
