package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * Jobs with tasks that wait, in the order in which they get room: first those that can still end in time, by priority and
 * age; then those that are late already, in the same order. So a flood delays as few jobs as possible instead of all.
 */
final class JobQueue {
    private static final Comparator<JobProgress> BY_PRIORITY =
            Comparator.comparingInt(JobProgress::priority).thenComparingLong(JobProgress::arrivalMillis);

    private final List<JobProgress> jobs = new ArrayList<>();

    void add(JobProgress job) {
        if (!jobs.contains(job)) {
            jobs.add(job);
        }
    }

    void remove(JobProgress job) {
        jobs.remove(job);
    }

    /** Returns the jobs in order and forgets those without waiting tasks. */
    List<JobProgress> ordered(long nowMillis) {
        for (Iterator<JobProgress> each = jobs.iterator(); each.hasNext(); ) {
            JobProgress job = each.next();
            if (job.over() || job.pendingTasks() == 0) {
                each.remove();
            }
        }
        if (jobs.size() > 1) {
            jobs.sort(Comparator.comparing((JobProgress job) -> isLate(job, nowMillis))
                    .thenComparing(BY_PRIORITY));
        }
        return List.copyOf(jobs);
    }

    /** Whether a job goes before another one of the given priority that arrives now and can still be in time. */
    static boolean goesBefore(JobProgress job, int priority, long nowMillis) {
        return !isLate(job, nowMillis) && job.priority() <= priority;
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** Returns the least processor share that a task of any job needs. */
    int leastCpu() {
        int least = Integer.MAX_VALUE;
        for (JobProgress job : jobs) {
            least = Math.min(least, job.shape().cpuMillicores());
        }
        return least;
    }

    List<JobProgress> all() {
        return jobs;
    }

    /** A job that has begun keeps its place: its tasks that have run would be wasted. */
    private static boolean isLate(JobProgress job, long nowMillis) {
        return !job.started() && nowMillis + job.shape().estimateMillis() / 2 > job.targetMillis();
    }
}
