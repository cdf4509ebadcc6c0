package org.banyanspoke.core.job;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.banyanspoke.api.errors.ErrorBody;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobCounts;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.api.job.TaskAnswer;
import org.banyanspoke.api.job.TaskSpec;

/**
 * State machine of one job and its tasks. The job is complete when every task is done and fails as a whole otherwise.
 * No call changes a job that has ended. Each transition throws {@link IllegalStateException} if the task is not in the
 * source state of the transition, so a task cannot be sent twice.
 */
public final class JobExecution {
    private final JobId jobId;
    private final List<TaskSpec> tasks;
    private final TaskState[] states;
    private final String[] results;
    private final ServerId[] servers;
    private final int[] counts = new int[TaskState.values().length];
    private JobState state = JobState.RUNNING;
    private ErrorBody error;
    private boolean requestWritten;

    /** Creates a running job whose tasks are all waiting. */
    public JobExecution(JobId jobId, List<TaskSpec> tasks) {
        this.jobId = jobId;
        this.tasks = tasks;
        this.states = new TaskState[tasks.size()];
        this.results = new String[tasks.size()];
        this.servers = new ServerId[tasks.size()];
        Arrays.fill(states, TaskState.WAITING);
        counts[TaskState.WAITING.ordinal()] = tasks.size();
    }

    /** Records that a waiting task is sent. Must be called before the request is written. */
    public void onTaskSent(int index) {
        transition(index, TaskState.WAITING, TaskState.SENT);
    }

    /**
     * Records that a sent task was not started and is waiting again.
     *
     * @param written whether the request reached the server, which then reported that it did not start the task
     */
    public void onTaskNotStarted(int index, boolean written) {
        transition(index, TaskState.SENT, TaskState.WAITING);
        requestWritten |= written;
    }

    /** Records the result of a sent task. Completes the job if this was the last task. */
    public void onTaskDone(int index, String result, ServerId server) {
        transition(index, TaskState.SENT, TaskState.DONE);
        results[index] = result;
        servers[index] = server;
        if (count(TaskState.DONE) == tasks.size()) {
            state = JobState.COMPLETE;
        }
    }

    /** Records that a sent task failed, and fails the job. */
    public void onTaskFailed(int index, String message) {
        transition(index, TaskState.SENT, TaskState.FAILED);
        fail(ErrorKind.TASK_FAILED, "task \"" + tasks.get(index).id() + "\" failed: " + message);
    }

    /** Records that the outcome of a sent task is unknown, and fails the job. */
    public void onTaskUnknown(int index, String message) {
        transition(index, TaskState.SENT, TaskState.UNKNOWN);
        fail(
                ErrorKind.TASK_OUTCOME_UNKNOWN,
                "the outcome of task \"" + tasks.get(index).id() + "\" is unknown: " + message);
    }

    /** Fails the job. Waiting tasks never start; the outcome of sent tasks remains unknown. */
    public void fail(ErrorKind kind, String message) {
        requireRunning();
        boolean started = mayHaveStarted();
        for (int i = 0; i < states.length; i++) {
            if (states[i] == TaskState.WAITING) {
                transition(i, TaskState.WAITING, TaskState.NOT_STARTED);
            } else if (states[i] == TaskState.SENT) {
                transition(i, TaskState.SENT, TaskState.UNKNOWN);
            }
        }
        requestWritten = started;
        Arrays.fill(results, null);
        error = new ErrorBody(kind, kind.execution(), message);
        state = JobState.FAILED;
    }

    /** Returns whether a request for any task has reached or may have reached a backend server. */
    public boolean mayHaveStarted() {
        return requestWritten || count(TaskState.WAITING) + count(TaskState.NOT_STARTED) < tasks.size();
    }

    /** Returns whether the job has ended. */
    public boolean isEnded() {
        return state != JobState.RUNNING;
    }

    /** Returns the error kind, or null unless the job has failed. */
    public ErrorKind errorKind() {
        return error == null ? null : error.kind();
    }

    /** Returns the number of tasks in a state. */
    public int count(TaskState taskState) {
        return counts[taskState.ordinal()];
    }

    /** Returns the state of a task. */
    public TaskState taskState(int index) {
        return states[index];
    }

    /** Returns the current state, with all results if the job is complete and without results otherwise. */
    public JobAnswer answer() {
        return new JobAnswer(jobId, state, error, jobCounts(), results());
    }

    private JobCounts jobCounts() {
        return new JobCounts(
                count(TaskState.WAITING),
                count(TaskState.SENT),
                count(TaskState.DONE),
                count(TaskState.FAILED),
                count(TaskState.UNKNOWN),
                count(TaskState.NOT_STARTED));
    }

    private List<TaskAnswer> results() {
        if (state != JobState.COMPLETE) {
            return List.of();
        }
        List<TaskAnswer> answers = new ArrayList<>(tasks.size());
        for (int i = 0; i < states.length; i++) {
            answers.add(new TaskAnswer(tasks.get(i).id(), results[i], servers[i]));
        }
        return answers;
    }

    private void transition(int index, TaskState from, TaskState to) {
        requireRunning();
        if (states[index] != from) {
            throw new IllegalStateException("task \"" + tasks.get(index).id() + "\" of job \"" + jobId + "\" is "
                    + states[index] + ", expected " + from);
        }
        states[index] = to;
        counts[from.ordinal()]--;
        counts[to.ordinal()]++;
    }

    private void requireRunning() {
        if (isEnded()) {
            throw new IllegalStateException("job \"" + jobId + "\" has ended");
        }
    }
}
