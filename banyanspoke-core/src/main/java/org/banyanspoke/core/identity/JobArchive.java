package org.banyanspoke.core.identity;

import com.google.common.hash.HashCode;
import java.util.List;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;

/**
 * Everything a stopped process knew about its used job ids. A successor answers resubmissions from it and never starts
 * work from it. Complete: an id of a generation that was open and is not listed was never run.
 *
 * @param incarnation the stopped process
 * @param oldestGeneration the oldest generation for which the list is complete
 * @param newestGeneration the newest generation in which ids were issued
 * @param entries used ids
 */
public record JobArchive(Incarnation incarnation, int oldestGeneration, int newestGeneration, List<Entry> entries) {
    /** Copies the list. */
    public JobArchive {
        entries = List.copyOf(entries);
    }

    /**
     * One used id.
     *
     * @param jobId the id
     * @param team its team
     * @param bodyDigest SHA-256 of the body
     * @param answer the final answer; results are empty and the state is complete if they are no longer kept
     * @param answerKept whether the answer is whole
     */
    public record Entry(JobId jobId, TeamId team, HashCode bodyDigest, JobAnswer answer, boolean answerKept) {}
}
