package org.banyanspoke.core.identity;

import com.google.common.hash.HashCode;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.core.identity.internal.AnswerSizes;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Answers requests for job ids of stopped processes from their archives. Never starts a job. Not thread safe.
 *
 * <p>The MAC of an id cannot be verified here, because the key existed only in the stopped process. The job of an id
 * that is not in a complete archive was not run, whether or not the id was issued.
 */
public final class ArchivedJobs {
    private final MonotonicClock clock;
    private final long retentionNanos;
    private final long maxAnswerBytes;
    private final Map<Incarnation, IndexedArchive> archives = new HashMap<>();
    private final ArrayDeque<IndexedArchive> byArrival = new ArrayDeque<>();
    private long answerBytes;

    /** An archive, indexed by the sequence numbers of its job ids. */
    private static final class IndexedArchive {
        final Incarnation incarnation;
        final int oldestGeneration;
        final Map<Long, JobArchive.Entry> entries = new HashMap<>();
        final long arrivedNanos;
        final long bytes;
        boolean resultsDropped;

        IndexedArchive(JobArchive archive, long arrivedNanos) {
            this.incarnation = archive.incarnation();
            this.oldestGeneration = archive.oldestGeneration();
            this.arrivedNanos = arrivedNanos;
            long sum = 0;
            for (JobArchive.Entry entry : archive.entries()) {
                entries.put(entry.jobId().sequence(), entry);
                sum += AnswerSizes.bytes(entry.answer());
            }
            bytes = sum;
        }
    }

    /**
     * @param retentionNanos retention time of an archive after its arrival; after 330 s, every open id of the stopped
     *     process has expired
     * @param maxAnswerBytes limit of the approximate size of the answers in all archives; the results of the oldest
     *     archive are dropped first
     */
    public ArchivedJobs(MonotonicClock clock, long retentionNanos, long maxAnswerBytes) {
        this.clock = clock;
        this.retentionNanos = retentionNanos;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /** Stores an archive. Ignores a second one of the same process, because a transfer may be retried. */
    public void accept(JobArchive archive) {
        if (archives.containsKey(archive.incarnation())) {
            return;
        }
        IndexedArchive archived = new IndexedArchive(archive, clock.nanos());
        archives.put(archive.incarnation(), archived);
        byArrival.addLast(archived);
        answerBytes += archived.bytes;
        dropResults();
    }

    /** Returns whether the archive of a process is stored here. */
    public boolean has(Incarnation incarnation) {
        return archives.containsKey(incarnation);
    }

    /**
     * Returns the final answer of a job. Also used for a cancellation, which has no effect on an ended job.
     *
     * @throws DispatchException {@link ErrorKind#UNKNOWN_JOB} if no such job was run,
     *     {@link ErrorKind#ANSWER_DISCARDED} if the answer is no longer retained, {@link ErrorKind#JOB_ID_EXPIRED} if
     *     the id is older than the generations that the archive covers, {@link ErrorKind#OWNER_LOST} if the archive is
     *     not stored here or the job had not ended
     */
    public JobAnswer status(TeamId team, JobId jobId) throws DispatchException {
        return answer(entry(team, jobId));
    }

    /**
     * Returns the final answer of a job that is submitted again.
     *
     * @throws DispatchException as {@link #status}, and {@link ErrorKind#JOB_ID_CONFLICT} if the body differs
     */
    public JobAnswer resubmit(TeamId team, JobId jobId, HashCode bodyDigest) throws DispatchException {
        JobArchive.Entry entry = entry(team, jobId);
        if (!entry.bodyDigest().equals(bodyDigest)) {
            throw new DispatchException(
                    ErrorKind.JOB_ID_CONFLICT,
                    "job id \"" + jobId + "\" was already used with a different request body");
        }
        return answer(entry);
    }

    private JobArchive.Entry entry(TeamId team, JobId jobId) throws DispatchException {
        IndexedArchive archived = archives.get(jobId.incarnation());
        if (archived == null) {
            throw new DispatchException(
                    ErrorKind.OWNER_LOST,
                    "the process that owned job \"" + jobId + "\" has ended and its archive is not available here");
        }
        JobArchive.Entry entry = archived.entries.get(jobId.sequence());
        if (entry != null && entry.jobId().equals(jobId) && entry.team().equals(team)) {
            return entry;
        }
        throw notFound(archived, jobId);
    }

    private static DispatchException notFound(IndexedArchive archived, JobId jobId) {
        if (jobId.generation() < archived.oldestGeneration) {
            return new DispatchException(
                    ErrorKind.JOB_ID_EXPIRED, "job id \"" + jobId + "\" has expired and has no record");
        }
        return new RefusedException(
                ErrorKind.UNKNOWN_JOB,
                "job \"" + jobId + "\" was not run before its owner stopped; reserve a new job id",
                0);
    }

    private static JobAnswer answer(JobArchive.Entry entry) throws DispatchException {
        JobAnswer answer = entry.answer();
        if (answer.state() == JobState.RUNNING) {
            throw new DispatchException(
                    ErrorKind.OWNER_LOST, "job \"" + entry.jobId() + "\" had not ended when its owner stopped");
        }
        if (answer.state() == JobState.COMPLETE && !entry.answerKept()) {
            throw new DispatchException(
                    ErrorKind.ANSWER_DISCARDED,
                    "job \"" + entry.jobId() + "\" completed, but its answer is no longer retained");
        }
        return answer;
    }

    /** Drops archives whose retention time has passed. */
    public void expire() {
        long nowNanos = clock.nanos();
        while (!byArrival.isEmpty() && nowNanos - byArrival.getFirst().arrivedNanos >= retentionNanos) {
            IndexedArchive oldest = byArrival.removeFirst();
            archives.remove(oldest.incarnation);
            answerBytes -= oldest.resultsDropped ? 0 : oldest.bytes;
        }
    }

    private void dropResults() {
        for (IndexedArchive archived : byArrival) {
            if (answerBytes <= maxAnswerBytes) {
                return;
            }
            if (!archived.resultsDropped) {
                archived.entries.replaceAll((sequence, entry) -> withoutResults(entry));
                archived.resultsDropped = true;
                answerBytes -= archived.bytes;
            }
        }
    }

    private static JobArchive.Entry withoutResults(JobArchive.Entry entry) {
        boolean complete = entry.answer().state() == JobState.COMPLETE;
        JobAnswer answer = AnswerSizes.withoutResults(entry.answer());
        return new JobArchive.Entry(
                entry.jobId(), entry.team(), entry.bodyDigest(), answer, entry.answerKept() && !complete);
    }
}
