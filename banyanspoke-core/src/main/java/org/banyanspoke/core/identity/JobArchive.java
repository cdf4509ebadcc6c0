package org.banyanspoke.core.identity;

import com.google.common.hash.HashCode;
import java.util.List;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/**
 * The used job ids of a stopped process with their answers. A successor answers resubmissions from it and never starts
 * a job from it. The list is complete: the job of an id that is not listed and whose generation was open was never run.
 *
 * @param incarnation the stopped process
 * @param oldestGeneration the oldest generation for which the list is complete
 * @param newestGeneration the newest generation in which ids were issued
 * @param entries used job ids
 */
public record JobArchive(Incarnation incarnation, int oldestGeneration, int newestGeneration, List<Entry> entries) {
    /** Copies the list. */
    public JobArchive {
        entries = List.copyOf(entries);
    }

    /**
     * A used job id and its answer.
     *
     * @param jobId the id
     * @param team its team
     * @param bodyDigest SHA-256 of the body
     * @param answer the final answer, or the last state of a job that had not ended; a complete job whose results are
     *     no longer retained has none
     * @param answerKept whether the final answer is retained with all its results
     */
    public record Entry(JobId jobId, TeamId team, HashCode bodyDigest, JobAnswer answer, boolean answerKept) {}
}
