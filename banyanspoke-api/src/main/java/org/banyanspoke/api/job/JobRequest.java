package org.banyanspoke.api.job;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TaskId;

/**
 * A submitted job: tasks of one batch whose results are returned together.
 *
 * @param batch the batch, which determines urgency, contract and eligible backend servers
 * @param tasks 1 to {@link #MAX_TASKS} tasks
 * @param promiseMillis time limit of the whole job, in milliseconds; if 0 or absent, that of the batch applies; a
 *     value greater than that of the batch is refused
 */
public record JobRequest(BatchId batch, List<TaskSpec> tasks, long promiseMillis) {
    /** Maximum number of tasks in a job. */
    public static final int MAX_TASKS = 1_100;
    /** Maximum length of the payload of one task, in characters. */
    public static final int MAX_PAYLOAD_CHARS = 16_384;
    /** Maximum declared run time, in milliseconds. */
    public static final long MAX_DECLARED_MILLIS = 600_000;

    /** Copies the list of tasks; null becomes the empty list. */
    public JobRequest {
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }

    /**
     * Validates all fields, without the checks that need the configuration.
     *
     * @throws RefusedException with {@link ErrorKind#INVALID_JOB} for the first constraint that is violated
     */
    public void validate() throws RefusedException {
        if (batch == null) {
            throw invalid("field \"batch\" is missing");
        }
        if (tasks.isEmpty() || tasks.size() > MAX_TASKS) {
            throw invalid("a job must have 1 to " + MAX_TASKS + " tasks, this one has " + tasks.size());
        }
        if (promiseMillis < 0) {
            throw invalid("promiseMillis is " + promiseMillis + ", must not be negative");
        }
        Set<TaskId> ids = new HashSet<>(tasks.size() * 2);
        for (TaskSpec task : tasks) {
            validate(task);
            if (!ids.add(task.id())) {
                throw invalid("task id \"" + task.id() + "\" is not unique within the job");
            }
        }
    }

    private static void validate(TaskSpec task) throws RefusedException {
        if (task.id() == null) {
            throw invalid("a task has no id");
        }
        if (task.payload() != null && task.payload().length() > MAX_PAYLOAD_CHARS) {
            throw invalid("the payload of task \"" + task.id() + "\" has "
                    + task.payload().length() + " characters, the limit is " + MAX_PAYLOAD_CHARS);
        }
        if (task.declaredMillis() < 0 || task.declaredMillis() > MAX_DECLARED_MILLIS) {
            throw invalid("declaredMillis of task \"" + task.id() + "\" is " + task.declaredMillis() + ", must be 0 to "
                    + MAX_DECLARED_MILLIS);
        }
    }

    private static RefusedException invalid(String message) {
        return new RefusedException(ErrorKind.INVALID_JOB, message, 0);
    }
}
