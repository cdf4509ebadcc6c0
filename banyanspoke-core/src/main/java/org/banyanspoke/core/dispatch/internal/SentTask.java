package org.banyanspoke.core.dispatch.internal;

import org.banyanspoke.core.dispatch.TaskAttempt;
import org.banyanspoke.core.schedule.QueuedTask;

/** Task attempt that occupies a slot until its result arrives. Compared by identity. */
final class SentTask {
    final RunningJob job;
    final QueuedTask queued;
    final TaskAttempt attempt;
    final long sentNanos;
    /** Set by the first result; later results are ignored. */
    boolean ended;

    SentTask(RunningJob job, QueuedTask queued, TaskAttempt attempt, long sentNanos) {
        this.job = job;
        this.queued = queued;
        this.attempt = attempt;
        this.sentNanos = sentNanos;
    }
}
