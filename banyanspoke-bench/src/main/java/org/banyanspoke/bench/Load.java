package org.banyanspoke.bench;

import org.banyanspoke.api.config.UrgencyClass;

/**
 * The work of one team, submitted to one batch of the same name.
 *
 * @param name name of the team and the batch
 * @param urgency class of the batch
 * @param capacityFraction work offered, as a fraction of the capacity of all backend servers
 * @param promiseMillis promise of the batch in milliseconds
 * @param minTasks least number of tasks in a job
 * @param maxTasks largest number of tasks in a job
 * @param from start as a fraction of the measured time; negative values reach into the warm-up
 * @param until end as a fraction of the measured time
 * @param flood whether this work is the flood, whose own jobs are not part of the results
 * @param quotaFraction quota of task starts as a fraction of the capacity; 0 for no limit
 */
public record Load(
        String name,
        UrgencyClass urgency,
        double capacityFraction,
        long promiseMillis,
        int minTasks,
        int maxTasks,
        double from,
        double until,
        boolean flood,
        double quotaFraction) {
    private static final double WHOLE_RUN = -1_000;

    /** Returns steady work over the whole run, with jobs of 1 to 10 tasks. */
    public static Load steady(String name, UrgencyClass urgency, double capacityFraction, long promiseMillis) {
        return new Load(name, urgency, capacityFraction, promiseMillis, 1, 10, WHOLE_RUN, 1, false, 0);
    }

    /** Returns a flood from 10% to the end of the measured time. */
    public static Load flood(String name, UrgencyClass urgency, double capacityFraction, double quotaFraction) {
        return new Load(name, urgency, capacityFraction, 20_000, 1, 10, 0.1, 1, true, quotaFraction);
    }

    /** Returns the same work with jobs of a fixed number of tasks. */
    public Load withTasks(int tasks) {
        return new Load(
                name, urgency, capacityFraction, promiseMillis, tasks, tasks, from, until, flood, quotaFraction);
    }
}
