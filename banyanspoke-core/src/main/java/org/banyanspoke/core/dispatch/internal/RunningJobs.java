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

/** Jobs that have not ended, indexed by deadline and by contract expiry, so that a tick does not scan all of them. */
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

    /** Sets the batch of a job and reorders the job by its contract expiry. */
    void setBatch(RunningJob job, BatchConfig batch) {
        byContractExpiry.remove(job);
        job.batch = batch;
        byContractExpiry.add(job);
    }

    /** Excludes a job from contract expiry until {@link #setBatch} is called for it. */
    void untrackContractExpiry(RunningJob job) {
        byContractExpiry.remove(job);
    }

    /** Returns the running job with this id, or null if there is none. */
    RunningJob get(JobId jobId) {
        return byId.get(jobId);
    }

    /** Returns the job with the earliest deadline if that deadline has passed. */
    Optional<RunningJob> firstOverdue(long nowNanos) {
        if (byDeadline.isEmpty()) {
            return Optional.empty();
        }
        RunningJob first = byDeadline.first();
        return nowNanos - first.deadlineNanos >= 0 ? Optional.of(first) : Optional.empty();
    }

    /** Returns the tracked job with the earliest contract expiry if its contract has expired. */
    Optional<RunningJob> firstContractExpired(Instant now) {
        if (byContractExpiry.isEmpty()) {
            return Optional.empty();
        }
        RunningJob first = byContractExpiry.first();
        return now.isBefore(first.batch.contractExpiry()) ? Optional.empty() : Optional.of(first);
    }

    /** Returns a copy, so that jobs can end during iteration. */
    List<RunningJob> all() {
        return List.copyOf(byId.values());
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    int size() {
        return byId.size();
    }

    /** Compares by difference, because monotonic times can overflow. */
    private static int compareDeadlines(RunningJob a, RunningJob b) {
        int byTime = Long.signum(a.deadlineNanos - b.deadlineNanos);
        return byTime != 0 ? byTime : Long.compare(a.admissionNumber, b.admissionNumber);
    }
}
