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
 * Answers for job ids of stopped processes from their archives. Never starts work. Not thread safe.
 *
 * <p>The hash of an id cannot be checked here, because its key went with the process. An id that is not in a complete
 * archive was not run, whether it was issued or not.
 */
public final class ArchivedJobs {
    private final MonotonicClock clock;
    private final long keepNanos;
    private final long maxAnswerBytes;
    private final Map<Incarnation, Archived> archives = new HashMap<>();
    private final ArrayDeque<Archived> byArrival = new ArrayDeque<>();
    private long answerBytes;

    /** One archive, indexed by the sequence numbers of its ids. */
    private static final class Archived {
        final Incarnation incarnation;
        final int oldestGeneration;
        final Map<Long, JobArchive.Entry> entries = new HashMap<>();
        final long arrivedNanos;
        final long bytes;
        boolean answersDropped;

        Archived(JobArchive archive, long arrivedNanos) {
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
     * @param keepNanos time for which an archive is kept after its arrival; with 330 s every open id of the stopped process
     *     has expired by then
     * @param maxAnswerBytes approximate size of the answers of all archives; the results of the oldest are dropped first
     */
    public ArchivedJobs(MonotonicClock clock, long keepNanos, long maxAnswerBytes) {
        this.clock = clock;
        this.keepNanos = keepNanos;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /** Takes over an archive. A second one of the same process is ignored, because a transfer may be repeated. */
    public void accept(JobArchive archive) {
        if (archives.containsKey(archive.incarnation())) {
            return;
        }
        Archived archived = new Archived(archive, clock.nanos());
        archives.put(archive.incarnation(), archived);
        byArrival.addLast(archived);
        answerBytes += archived.bytes;
        dropResults();
    }

    /** Returns whether the archive of a process is here. */
    public boolean has(Incarnation incarnation) {
        return archives.containsKey(incarnation);
    }

    /**
     * Returns the final answer of a job. Also the answer to a cancellation, which has no effect on an ended job.
     *
     * @throws DispatchException {@link ErrorKind#UNKNOWN_JOB} if no such job was run, {@link ErrorKind#ANSWER_DISCARDED}
     *     if the answer is no longer kept, {@link ErrorKind#JOB_ID_EXPIRED} if the id is older than the archive,
     *     {@link ErrorKind#OWNER_LOST} if the archive is not here or the job had not ended
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
                    ErrorKind.JOB_ID_CONFLICT, "job id \"" + jobId + "\" was used before with another body");
        }
        return answer(entry);
    }

    private JobArchive.Entry entry(TeamId team, JobId jobId) throws DispatchException {
        Archived archived = archives.get(jobId.incarnation());
        if (archived == null) {
            throw new DispatchException(
                    ErrorKind.OWNER_LOST, "the process that owned job \"" + jobId + "\" is gone without an archive");
        }
        JobArchive.Entry entry = archived.entries.get(jobId.sequence());
        if (entry != null && entry.jobId().equals(jobId) && entry.team().equals(team)) {
            return entry;
        }
        throw missing(archived, jobId);
    }

    private static DispatchException missing(Archived archived, JobId jobId) {
        if (jobId.generation() < archived.oldestGeneration) {
            return new DispatchException(
                    ErrorKind.JOB_ID_EXPIRED, "job id \"" + jobId + "\" is too old to start work and not on record");
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
                    "job \"" + entry.jobId() + "\" completed and its answer is no longer kept");
        }
        return answer;
    }

    /** Drops archives whose time has passed. */
    public void expire() {
        long nowNanos = clock.nanos();
        while (!byArrival.isEmpty() && nowNanos - byArrival.getFirst().arrivedNanos >= keepNanos) {
            Archived oldest = byArrival.removeFirst();
            archives.remove(oldest.incarnation);
            answerBytes -= oldest.answersDropped ? 0 : oldest.bytes;
        }
    }

    private void dropResults() {
        for (Archived archived : byArrival) {
            if (answerBytes <= maxAnswerBytes) {
                return;
            }
            if (!archived.answersDropped) {
                archived.entries.replaceAll((sequence, entry) -> withoutResults(entry));
                archived.answersDropped = true;
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
