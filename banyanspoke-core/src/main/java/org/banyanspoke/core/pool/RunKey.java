package org.banyanspoke.core.pool;

/**
 * Identifies one run, that is one attempt to execute a task.
 *
 * @param task the task
 * @param number attempt number, counted from 1; a server refuses a number that is not higher than that of a run of the
 *     same task which was stopped or has ended there
 */
public record RunKey(TaskKey task, int number) {
    @Override
    public String toString() {
        return task + "#" + number;
    }
}
