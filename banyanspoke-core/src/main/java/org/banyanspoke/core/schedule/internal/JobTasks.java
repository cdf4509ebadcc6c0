package org.banyanspoke.core.schedule.internal;

import java.util.ArrayDeque;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.core.schedule.QueuedTask;

/** Waiting tasks of one job. They share a batch and a deadline, so the queue orders jobs instead of tasks. */
final class JobTasks implements Comparable<JobTasks> {
    private final JobId job;
    private final BatchTasks batch;
    private final long deadlineNanos;
    private final long sequence;
    private final ArrayDeque<QueuedTask> tasks = new ArrayDeque<>();

    JobTasks(JobId job, BatchTasks batch, long deadlineNanos, long sequence) {
        this.job = job;
        this.batch = batch;
        this.deadlineNanos = deadlineNanos;
        this.sequence = sequence;
    }

    JobId job() {
        return job;
    }

    BatchTasks batch() {
        return batch;
    }

    int size() {
        return tasks.size();
    }

    QueuedTask first() {
        return tasks.getFirst();
    }

    QueuedTask removeFirst() {
        return tasks.removeFirst();
    }

    /** Appends a task; a task that was returned to the queue is placed first again. */
    void add(QueuedTask task) {
        if (!tasks.isEmpty() && task.index() < tasks.getFirst().index()) {
            tasks.addFirst(task);
        } else {
            tasks.addLast(task);
        }
    }

    @Override
    public int compareTo(JobTasks other) {
        // Compares by difference, because the origin of monotonic times is arbitrary.
        int byDeadline = Long.signum(deadlineNanos - other.deadlineNanos);
        return byDeadline != 0 ? byDeadline : Long.compare(sequence, other.sequence);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(sequence);
    }
}
