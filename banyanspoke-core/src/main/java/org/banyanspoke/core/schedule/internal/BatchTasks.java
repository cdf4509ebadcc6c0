package org.banyanspoke.core.schedule.internal;

import java.util.TreeSet;
import org.banyanspoke.core.schedule.QueuedTask;

/** Waiting jobs of one batch, ordered by earliest deadline. */
final class BatchTasks {
    private final TeamTasks team;
    private final TreeSet<JobTasks> jobs = new TreeSet<>();
    private long unsendableInPoll = -1;

    BatchTasks(TeamTasks team) {
        this.team = team;
    }

    TeamTasks team() {
        return team;
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    JobTasks firstJob() {
        return jobs.first();
    }

    QueuedTask first() {
        return jobs.first().first();
    }

    void add(JobTasks job) {
        jobs.add(job);
    }

    void remove(JobTasks job) {
        jobs.remove(job);
    }

    /** Marks the batch as not sendable, so that the filter is applied to it only once per poll. */
    void markUnsendable(long poll) {
        unsendableInPoll = poll;
    }

    boolean isUnsendable(long poll) {
        return unsendableInPoll == poll;
    }
}
