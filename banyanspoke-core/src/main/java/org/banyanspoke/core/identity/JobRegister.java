package org.banyanspoke.core.identity;

import com.google.common.hash.HashCode;
import java.util.function.Function;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/** Used job ids of one process with the answers that are still kept. */
public interface JobRegister {
    /** What is known about a job id. */
    sealed interface Known permits Unused, Running, Finished {}

    /** The id was issued, may start work and has not been used. */
    record Unused() implements Known {}

    /** The job of this id has not ended. */
    record Running() implements Known {}

    /**
     * The job of this id has ended.
     *
     * @param answer its final answer
     */
    record Finished(JobAnswer answer) implements Known {}

    /**
     * Looks up an id for a submission. Records nothing.
     *
     * @throws DispatchException as {@link #find}, and {@link ErrorKind#JOB_ID_CONFLICT} if the id was used with another
     *     body
     */
    Known find(JobId jobId, TeamId team, HashCode bodyDigest) throws DispatchException;

    /**
     * Looks up an id.
     *
     * @throws DispatchException {@link ErrorKind#UNKNOWN_JOB} if it was not issued to the team,
     *     {@link ErrorKind#JOB_ID_EXPIRED} if it is too old and not on record, {@link ErrorKind#ANSWER_DISCARDED} if the
     *     answer is no longer kept, {@link ErrorKind#OWNER_LOST} if another process issued it
     */
    Known find(JobId jobId, TeamId team) throws DispatchException;

    /**
     * Records that the job of an unused id is running, before any of its tasks starts.
     *
     * @throws RefusedException {@link ErrorKind#OVERLOADED} if there are too many records
     * @throws IllegalStateException if the id is on record
     */
    void begin(JobId jobId, TeamId team, HashCode bodyDigest) throws RefusedException;

    /**
     * Records the final answer of a running job.
     *
     * @throws IllegalStateException if the job is not running
     */
    void finish(JobId jobId, JobAnswer answer);

    /** Drops answers and records whose time has passed. */
    void expire();

    /** Returns whether no further record may be made. */
    boolean isFull();

    /** Returns the number of records. */
    int size();

    /** Returns the approximate size of the kept answers, in bytes. */
    long keptAnswerBytes();

    /**
     * Returns all records. Complete only if no id is issued and no job begins afterwards.
     *
     * @param running gives the present state of a running job
     */
    JobArchive archive(Function<JobId, JobAnswer> running);
}
