package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;

/**
 * What a run has recorded.
 *
 * @param topology hosts and servers
 * @param jobs the plan
 * @param outcomes one for each job
 * @param startNanos start of the load on the clock of {@link System#nanoTime()}
 * @param before counts at the start of the load
 * @param after counts after the last job
 * @param ledger starts in the ledger
 * @param exitCodes exit codes of restarted hosts, in order
 * @param faultErrors faults that could not be set
 */
public record Measurement(
        Topology topology,
        List<PlannedJob> jobs,
        List<JobOutcome> outcomes,
        long startNanos,
        Counts before,
        Counts after,
        LedgerStarts ledger,
        List<Integer> exitCodes,
        List<String> faultErrors) {
    /**
     * Counts at one moment.
     *
     * @param atNanos the moment
     * @param hostCpu processor time of the hosts
     * @param hostMetrics metrics by host
     * @param ledger summary of the ledger
     * @param platformRequests requests to log and host list
     */
    public record Counts(
            long atNanos, Duration hostCpu, List<JsonNode> hostMetrics, JsonNode ledger, long platformRequests) {
        /** Returns a number of the ledger's summary, 0 if absent. */
        long ledgerCount(String pointer) {
            return ledger.at(pointer).asLong();
        }
    }
}
