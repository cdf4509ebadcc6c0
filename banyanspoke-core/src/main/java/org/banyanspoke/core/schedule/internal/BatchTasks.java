package org.banyanspoke.core.schedule.internal;

import java.util.TreeSet;
import org.banyanspoke.core.schedule.QueuedTask;

/** Waiting jobs of one batch, earliest deadline first. */
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

    /** Remembers that the batch cannot be sent, so that one poll asks about it once only. */
    void markUnsendable(long poll) {
        unsendableInPoll = poll;
    }

    boolean isUnsendable(long poll) {
        return unsendableInPoll == poll;
    }
}
