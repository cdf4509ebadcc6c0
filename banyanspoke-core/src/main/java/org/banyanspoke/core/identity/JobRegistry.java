package org.banyanspoke.core.identity;

import com.google.common.hash.HashCode;
import java.util.function.Function;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/** Registry of the used job ids of one process, with the answers that are still retained. */
public interface JobRegistry {
    /** Result of the look-up of a job id. */
    sealed interface LookupResult permits Unused, Running, Finished {}

    /** The id was issued, may start a job and has not been used. */
    record Unused() implements LookupResult {}

    /** The job of this id has not ended. */
    record Running() implements LookupResult {}

    /**
     * The job of this id has ended.
     *
     * @param answer its final answer
     */
    record Finished(JobAnswer answer) implements LookupResult {}

    /**
     * Looks up an id for a submission. Does not change the registry.
     *
     * @throws DispatchException as {@link #find}, and {@link ErrorKind#JOB_ID_CONFLICT} if the id was used with another
     *     body
     */
    LookupResult find(JobId jobId, TeamId team, HashCode bodyDigest) throws DispatchException;

    /**
     * Looks up an id.
     *
     * @throws DispatchException {@link ErrorKind#UNKNOWN_JOB} if it was not issued to the team,
     *     {@link ErrorKind#JOB_ID_EXPIRED} if it has expired and has no record, {@link ErrorKind#ANSWER_DISCARDED} if
     *     the answer is no longer retained, {@link ErrorKind#OWNER_LOST} if another process issued it
     */
    LookupResult find(JobId jobId, TeamId team) throws DispatchException;

    /**
     * Records the job of an unused id as running. Must be called before any of its tasks starts.
     *
     * @throws RefusedException {@link ErrorKind#OVERLOADED} if the registry is full
     * @throws IllegalStateException if the id already has a record
     */
    void begin(JobId jobId, TeamId team, HashCode bodyDigest) throws RefusedException;

    /**
     * Records the final answer of a running job.
     *
     * @throws IllegalStateException if the job is not running
     */
    void finish(JobId jobId, JobAnswer answer);

    /** Drops answers whose retention time has passed, and records that are no longer needed. */
    void expire();

    /** Returns whether the limit of records has been reached. */
    boolean isFull();

    /** Returns the number of records. */
    int size();

    /** Returns the approximate size of the retained answers, in bytes. */
    long keptAnswerBytes();

    /**
     * Returns an archive of all records. It is complete only if no id is issued and no job begins afterwards.
     *
     * @param running returns the current state of a running job
     */
    JobArchive archive(Function<JobId, JobAnswer> running);
}
