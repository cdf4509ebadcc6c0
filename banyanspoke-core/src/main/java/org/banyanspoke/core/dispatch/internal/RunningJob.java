package org.banyanspoke.core.dispatch.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.admission.internal.TeamUsage;
import org.banyanspoke.core.job.JobExecution;

/** Job that has not ended, with its callers and its attempts in flight. */
final class RunningJob {
    final JobId jobId;
    final TeamId team;
    final List<TaskSpec> tasks;
    final JobExecution execution;
    final TeamUsage usage;
    final long submittedNanos;
    final long deadlineNanos;
    /** Position in the order of admission; breaks ties between equal deadlines. */
    final long admissionNumber;

    final List<Consumer<JobAnswer>> callers = new ArrayList<>(1);
    final Set<SentTask> sent = new HashSet<>();
    /** Latest configuration of the batch, or the last known one if the batch has since been removed. */
    BatchConfig batch;

    private int[] retryCounts;

    RunningJob(
            JobId jobId,
            TeamId team,
            List<TaskSpec> tasks,
            BatchConfig batch,
            TeamUsage usage,
            long submittedNanos,
            long deadlineNanos,
            long admissionNumber) {
        this.jobId = jobId;
        this.team = team;
        this.tasks = tasks;
        this.batch = batch;
        this.usage = usage;
        this.submittedNanos = submittedNanos;
        this.deadlineNanos = deadlineNanos;
        this.admissionNumber = admissionNumber;
        this.execution = new JobExecution(jobId, tasks);
    }

    /**
     * Counts a retry of a task and returns its number of retries. The counters are allocated on the first retry,
     * because few jobs have any.
     */
    int incrementRetries(int index) {
        if (retryCounts == null) {
            retryCounts = new int[tasks.size()];
        }
        retryCounts[index]++;
        return retryCounts[index];
    }
}
