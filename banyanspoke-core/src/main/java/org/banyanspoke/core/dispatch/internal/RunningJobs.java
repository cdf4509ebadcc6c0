package org.banyanspoke.core.dispatch.internal;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.JobId;

/** The jobs that have not ended, ordered by deadline and by contract expiry, so that no tick looks at all of them. */
final class RunningJobs {
    private final Map<JobId, RunningJob> byId = new HashMap<>();
    private final TreeSet<RunningJob> byDeadline = new TreeSet<>(RunningJobs::compareDeadlines);
    private final TreeSet<RunningJob> byContractExpiry =
            new TreeSet<>(Comparator.comparing((RunningJob job) -> job.batch.contractExpiry())
                    .thenComparingLong(job -> job.admissionNumber));

    void add(RunningJob job) {
        byId.put(job.jobId, job);
        byDeadline.add(job);
        byContractExpiry.add(job);
    }

    void remove(RunningJob job) {
        byId.remove(job.jobId);
        byDeadline.remove(job);
        byContractExpiry.remove(job);
    }

    /** Changes the batch of a job, which may move its contract expiry. */
    void setBatch(RunningJob job, BatchConfig batch) {
        byContractExpiry.remove(job);
        job.batch = batch;
        byContractExpiry.add(job);
    }

    /** Stops watching the contract of a job; {@link #setBatch} watches it again. */
    void untrackContractExpiry(RunningJob job) {
        byContractExpiry.remove(job);
    }

    /** Returns the job, or null if it is not running. */
    RunningJob get(JobId jobId) {
        return byId.get(jobId);
    }

    /** Returns a job whose deadline has passed. */
    Optional<RunningJob> firstOverdue(long nowNanos) {
        if (byDeadline.isEmpty()) {
            return Optional.empty();
        }
        RunningJob first = byDeadline.first();
        return nowNanos - first.deadlineNanos >= 0 ? Optional.of(first) : Optional.empty();
    }

    /** Returns a job whose contract has expired and is watched. */
    Optional<RunningJob> firstContractExpired(Instant now) {
        if (byContractExpiry.isEmpty()) {
            return Optional.empty();
        }
        RunningJob first = byContractExpiry.first();
        return now.isBefore(first.batch.contractExpiry()) ? Optional.empty() : Optional.of(first);
    }

    /** Returns a copy, so that jobs may end while it is read. */
    List<RunningJob> all() {
        return List.copyOf(byId.values());
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    int size() {
        return byId.size();
    }

    /** Compares by difference, because monotonic times may overflow. */
    private static int compareDeadlines(RunningJob a, RunningJob b) {
        int byTime = Long.signum(a.deadlineNanos - b.deadlineNanos);
        return byTime != 0 ? byTime : Long.compare(a.admissionNumber, b.admissionNumber);
    }
}
