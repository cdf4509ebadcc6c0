package org.banyanspoke.api.job;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.ids.JobId;

/**
 * The answer to a submission, or the present state of a job.
 *
 * @param jobId the job
 * @param state running, complete or failed
 * @param error set if and only if the state is failed
 * @param counts tasks in each state
 * @param tasks all results in the order of the request if the state is complete, else empty
 */
public record JobAnswer(
        JobId jobId,
        JobState state,
        @JsonInclude(JsonInclude.Include.NON_NULL) ErrorBody error,
        JobCounts counts,
        List<TaskAnswer> tasks) {
    /** Copies the list of results. */
    public JobAnswer {
        tasks = List.copyOf(tasks);
    }
}
