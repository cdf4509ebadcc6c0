package org.banyanspoke.core.pool;

/**
 * One start of a task.
 *
 * @param task the task
 * @param number from 1; a server refuses a number that is not higher than an earlier one of the same task
 */
public record RunKey(TaskKey task, int number) {
    @Override
    public String toString() {
        return task + "#" + number;
    }
}
