package org.banyanspoke.api.job;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.ids.JobId;

/**
 * The response to a submission, or the current state of a job.
 *
 * @param jobId the job
 * @param state running, complete or failed
 * @param error the error if the state is failed, else null
 * @param counts number of tasks in each state
 * @param tasks results of all tasks in the order of the request if the state is complete, else empty
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
