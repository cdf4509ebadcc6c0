package org.banyanspoke.bench.internal;

import org.banyanspoke.bench.Load;

/**
 * A planned job. Its task ids are {@code INDEX-0}, {@code INDEX-1} and so on, unique within the run.
 *
 * @param index position in the plan
 * @param load load that the job belongs to
 * @param arrivalNanos arrival time since the start of the run
 * @param runMillis actual run time of each task on a server of speed 1, in milliseconds
 * @param declaredMillis declared run time of each task, in milliseconds
 */
public record PlannedJob(int index, Load load, long arrivalNanos, double[] runMillis, long[] declaredMillis) {
    /** Returns the number of tasks. */
    public int tasks() {
        return runMillis.length;
    }

    /** Returns the id of a task. */
    public String taskId(int task) {
        return index + "-" + task;
    }
}
