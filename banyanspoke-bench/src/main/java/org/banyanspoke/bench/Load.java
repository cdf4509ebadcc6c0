package org.banyanspoke.bench;

import org.banyanspoke.api.config.UrgencyClass;

/**
 * The workload of one client account, submitted to one batch of the same name.
 *
 * @param name name of the client account and of the batch
 * @param urgency urgency class of the batch
 * @param capacityFraction offered load as a fraction of the capacity of all backend servers
 * @param promiseMillis promised response time of the batch in milliseconds
 * @param minTasks minimum number of tasks in a job
 * @param maxTasks maximum number of tasks in a job
 * @param from start as a fraction of the measurement time; negative values lie in the warm-up
 * @param until end as a fraction of the measurement time
 * @param flood whether this is the overload (flood) of the scenario, whose jobs are excluded from the results
 * @param quotaFraction quota of task starts as a fraction of the capacity; 0 for no quota
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
    private static final double FROM_START_OF_WARMUP = -1_000;

    /** Returns a steady load over warm-up and measurement, with jobs of 1 to 10 tasks. */
    public static Load steady(String name, UrgencyClass urgency, double capacityFraction, long promiseMillis) {
        return new Load(name, urgency, capacityFraction, promiseMillis, 1, 10, FROM_START_OF_WARMUP, 1, false, 0);
    }

    /** Returns a flood from 10% to 100% of the measurement time. */
    public static Load flood(String name, UrgencyClass urgency, double capacityFraction, double quotaFraction) {
        return new Load(name, urgency, capacityFraction, 20_000, 1, 10, 0.1, 1, true, quotaFraction);
    }

    /** Returns a copy of the load with a fixed number of tasks per job. */
    public Load withTasks(int tasks) {
        return new Load(
                name, urgency, capacityFraction, promiseMillis, tasks, tasks, from, until, flood, quotaFraction);
    }
}
