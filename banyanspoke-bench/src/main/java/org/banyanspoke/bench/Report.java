package org.banyanspoke.bench;

import java.util.List;
import java.util.Map;

/**
 * Results of a run, printed as one JSON object; docs/bench.md defines each figure. Figures that were not measured are
 * null.
 *
 * @param scenario scenario name
 * @param seed random seed
 * @param shape modelled site
 * @param policy policy of the daemons
 * @param scale number of hosts and servers as a fraction of the site
 * @param hosts number of entry hosts
 * @param servers number of backend servers
 * @param seconds measurement time in seconds
 * @param jobs number of evaluated jobs
 * @param tasks number of tasks of these jobs
 * @param responseRatioP50 median ratio of response time to ideal response time
 * @param responseRatioP90 90th percentile of this ratio
 * @param responseRatioP99 99th percentile of this ratio
 * @param wastedMessagesPerTask messages that did not start a task, per task start
 * @param wastedByKind the same by kind: backend, peer and platform
 * @param keptServiceRatio ratio of jobs completed within their promise with the flood to those without it
 * @param contractsMet fraction of jobs completed within their promise
 * @param duplicateStarts task starts beyond the first of each task
 * @param lostTasks tasks of jobs that got no response
 * @param partialAnswers responses marked complete with missing results or results of other tasks
 * @param startsPerSecond task starts per second during the measurement
 * @param controlCpuPercent mean CPU usage of the control thread of a host, in percent of a core
 * @param controlBytesPerSecond mean control traffic sent and received by a host, in bytes per second
 * @param controlHeapMegabytes mean heap size of the control state of a host
 * @param hostCpuPercent mean CPU usage of a host process, in percent of a core
 * @param loadAverage one-minute load average of the machine at the end; results from a busy machine are trials only
 * @param outcomes number of jobs by state or error kind
 * @param outcomesByTeam the same by client account
 * @param shareToFailingServer fraction of task starts on the failing server, counted from 1 s after the fault
 * @param exitCodes exit codes of restarted hosts, in order of restart
 * @param faultErrors errors of faults that could not be injected
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
    /** Makes defensive copies of the lists. */
    public Report {
        exitCodes = List.copyOf(exitCodes);
        faultErrors = List.copyOf(faultErrors);
    }
}
