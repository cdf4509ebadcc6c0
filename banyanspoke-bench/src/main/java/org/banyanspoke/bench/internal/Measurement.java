package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;

/**
 * Raw data recorded during a run.
 *
 * @param topology layout of hosts and servers
 * @param jobs planned jobs
 * @param outcomes outcomes of all jobs
 * @param startNanos start of the load on the clock of {@link System#nanoTime()}
 * @param before counts before the load
 * @param after counts after the last job
 * @param ledger task starts recorded in the ledger
 * @param exitCodes exit codes of restarted hosts, in order of restart
 * @param faultErrors errors of faults that could not be injected
 */
public record Measurement(
        Topology topology,
        List<PlannedJob> jobs,
        List<JobOutcome> outcomes,
        long startNanos,
        Counts before,
        Counts after,
        TaskStartLog ledger,
        List<Integer> exitCodes,
        List<String> faultErrors) {
    /**
     * Counts at a point in time.
     *
     * @param atNanos value of {@link System#nanoTime()}
     * @param hostCpu total CPU time of the hosts
     * @param hostMetrics metrics by host
     * @param ledger summary of the ledger
     * @param platformRequests number of requests to the log and the host list
     */
    public record Counts(
            long atNanos, Duration hostCpu, List<JsonNode> hostMetrics, JsonNode ledger, long platformRequests) {
        /** Returns the count at a JSON pointer in the ledger summary, or 0 if absent. */
        long ledgerCount(String pointer) {
            return ledger.at(pointer).asLong();
        }
    }
}
