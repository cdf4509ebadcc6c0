package org.banyanspoke.core.identity.internal;

import com.google.common.hash.HashCode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.core.identity.Generations;
import org.banyanspoke.core.identity.JobArchive;
import org.banyanspoke.core.identity.JobIdIssuer;
import org.banyanspoke.core.identity.JobRegistry;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * In-memory registry. A record is kept while its generation is open, its job runs or its answer is retained, so an id
 * that may start a job is always either unused or has a record.
 */
public final class DefaultJobRegistry implements JobRegistry {
    private final JobIdIssuer issuer;
    private final Generations generations;
    private final MonotonicClock clock;
    private final RegistryLimits limits;

    /** Keyed by sequence number, which is unique in the process and covered by the id's MAC. */
    private final Map<Long, JobRecord> records = new HashMap<>();

    private final TreeMap<Integer, List<JobRecord>> byGeneration = new TreeMap<>();
    private final ArrayDeque<JobRecord> retainedByEnd = new ArrayDeque<>();
    private long retainedBytes;

    public DefaultJobRegistry(
            JobIdIssuer issuer, Generations generations, MonotonicClock clock, RegistryLimits limits) {
        this.issuer = issuer;
        this.generations = generations;
        this.clock = clock;
        this.limits = limits;
    }

    @Override
    public LookupResult find(JobId jobId, TeamId team, HashCode bodyDigest) throws DispatchException {
        JobRecord record = record(jobId, team);
        if (record != null && !record.bodyDigest.equals(bodyDigest)) {
            throw new DispatchException(
                    ErrorKind.JOB_ID_CONFLICT,
                    "job id \"" + jobId + "\" was already used with a different request body");
        }
        return lookupResult(jobId, record);
    }

    @Override
    public LookupResult find(JobId jobId, TeamId team) throws DispatchException {
        return lookupResult(jobId, record(jobId, team));
    }

    private JobRecord record(JobId jobId, TeamId team) throws DispatchException {
        if (!jobId.incarnation().equals(issuer.owner().incarnation())) {
            throw new DispatchException(
                    ErrorKind.OWNER_LOST, "job id \"" + jobId + "\" was issued by a different process");
        }
        if (!issuer.issued(jobId, team)) {
            throw new RefusedException(
                    ErrorKind.UNKNOWN_JOB, "job id \"" + jobId + "\" was not issued to team \"" + team + "\"", 0);
        }
        return records.get(jobId.sequence());
    }

    private LookupResult lookupResult(JobId jobId, JobRecord record) throws DispatchException {
        if (record == null) {
            return unused(jobId);
        }
        if (record.isRunning()) {
            return new Running();
        }
        if (!record.answerKept) {
            throw new DispatchException(
                    ErrorKind.ANSWER_DISCARDED,
                    "job \"" + jobId + "\" completed, but its answer is no longer retained");
        }
        return new Finished(record.answer);
    }

    private LookupResult unused(JobId jobId) throws DispatchException {
        if (!generations.isOpen(jobId.generation())) {
            throw new DispatchException(
                    ErrorKind.JOB_ID_EXPIRED, "job id \"" + jobId + "\" has expired and has no record");
        }
        return new Unused();
    }

    @Override
    public void begin(JobId jobId, TeamId team, HashCode bodyDigest) throws RefusedException {
        if (isFull()) {
            throw new RefusedException(
                    ErrorKind.OVERLOADED,
                    "the job registry is full with " + records.size() + " records of used job ids",
                    Generations.LENGTH_NANOS / 1_000_000);
        }
        JobRecord record = new JobRecord(withSharedStrings(jobId), team, bodyDigest);
        if (records.putIfAbsent(jobId.sequence(), record) != null) {
            throw new IllegalStateException("job id \"" + jobId + "\" already has a record");
        }
        byGeneration
                .computeIfAbsent(jobId.generation(), generation -> new ArrayList<>())
                .add(record);
    }

    /**
     * Returns an equal id that shares the strings of host and address with the issuer; parsed ids have their own
     * copies.
     */
    private JobId withSharedStrings(JobId id) {
        var owner = issuer.owner();
        return new JobId(
                owner.host(), owner.peerAddress(), owner.incarnation(), id.generation(), id.sequence(), id.mac());
    }

    @Override
    public void finish(JobId jobId, JobAnswer answer) {
        JobRecord record = records.get(jobId.sequence());
        if (record == null || !record.isRunning()) {
            throw new IllegalStateException("job \"" + jobId + "\" is not running");
        }
        record.finish(answer, clock.nanos());
        retainedByEnd.addLast(record);
        retainedBytes += record.answerBytes;
        dropAnswers();
    }

    @Override
    public void expire() {
        dropAnswers();
        int oldestOpen = generations.oldestOpen();
        while (!byGeneration.isEmpty() && byGeneration.firstKey() < oldestOpen) {
            byGeneration.pollFirstEntry().getValue().forEach(this::removeIfObsolete);
        }
    }

    private void dropAnswers() {
        long oldestNanos = clock.nanos() - limits.answerRetentionNanos();
        while (!retainedByEnd.isEmpty() && shouldDrop(retainedByEnd.getFirst(), oldestNanos)) {
            JobRecord record = retainedByEnd.removeFirst();
            retainedBytes -= record.answerBytes;
            record.discardResults();
            removeIfObsolete(record);
        }
    }

    private boolean shouldDrop(JobRecord record, long oldestNanos) {
        return retainedBytes > limits.maxAnswerBytes() || record.endedNanos - oldestNanos <= 0;
    }

    private void removeIfObsolete(JobRecord record) {
        boolean needed = record.isRunning() || record.retained || generations.isOpen(record.jobId.generation());
        if (!needed) {
            records.remove(record.jobId.sequence());
        }
    }

    @Override
    public boolean isFull() {
        return records.size() >= limits.maxRecords();
    }

    @Override
    public int size() {
        return records.size();
    }

    @Override
    public long keptAnswerBytes() {
        return retainedBytes;
    }

    @Override
    public JobArchive archive(Function<JobId, JobAnswer> running) {
        List<JobArchive.Entry> entries = new ArrayList<>(records.size());
        for (JobRecord record : records.values()) {
            JobAnswer answer = record.isRunning() ? running.apply(record.jobId) : record.answer;
            entries.add(new JobArchive.Entry(record.jobId, record.team, record.bodyDigest, answer, record.answerKept));
        }
        return new JobArchive(issuer.owner().incarnation(), generations.oldestOpen(), generations.current(), entries);
    }
}
