package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

/**
 * Queue of jobs with pending tasks. Jobs that can still meet their target come first, by priority and age; jobs that
 * are already late follow in the same order. Under overload this delays as few jobs as possible instead of all of them.
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

    /** Returns the jobs in scheduling order, after removing those without pending tasks. */
    List<JobProgress> ordered(long nowMillis) {
        for (Iterator<JobProgress> each = jobs.iterator(); each.hasNext(); ) {
            JobProgress job = each.next();
            if (job.isEnded() || job.pendingTasks() == 0) {
                each.remove();
            }
        }
        if (jobs.size() > 1) {
            jobs.sort(Comparator.comparing((JobProgress job) -> isLate(job, nowMillis))
                    .thenComparing(BY_PRIORITY));
        }
        return List.copyOf(jobs);
    }

    /** Returns whether a job precedes a job of the given priority that arrives now and can still meet its target. */
    static boolean precedes(JobProgress job, int priority, long nowMillis) {
        return !isLate(job, nowMillis) && job.priority() <= priority;
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** Returns the smallest processor share that a task of any queued job requires, in thousandths of a core. */
    int minCpuMillicores() {
        int min = Integer.MAX_VALUE;
        for (JobProgress job : jobs) {
            min = Math.min(min, job.requirements().cpuMillicores());
        }
        return min;
    }

    List<JobProgress> all() {
        return jobs;
    }

    /** A job with a started task never counts as late, because delaying it would waste the work already done. */
    private static boolean isLate(JobProgress job, long nowMillis) {
        return !job.started() && nowMillis + job.requirements().estimateMillis() / 2 > job.targetMillis();
    }
}
