package org.banyanspoke.core.schedule;

import java.util.Optional;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;

/** Waiting tasks of one entry host in the order in which they are to be sent. */
public interface TaskQueue {
    /** Sets the guaranteed shares of the classes. */
    void configure(ClassShares shares);

    /** Adds a task. Also used to put back a task that was polled and not sent. */
    void add(QueuedTask task);

    /**
     * Takes the next task.
     *
     * @param filter whether a task can be sent now, given what its work may claim
     * @return the first task in order that is sendable, or empty
     */
    Optional<QueuedTask> poll(DispatchFilter filter);

    /** Removes all waiting tasks of a job and returns how many there were. */
    int removeJob(JobId job);

    /** Tells that a polled task was sent and holds a slot. */
    void onSent(QueuedTask task);

    /** Tells that a sent task has ended and holds no slot any more. */
    void onEnded(QueuedTask task, long serviceNanos);

    /** Returns the number of waiting tasks of a class. */
    int size(UrgencyClass urgency);

    /** Returns the number of waiting tasks of a team. */
    int size(TeamId team);

    /**
     * Estimates how long a new task would wait.
     *
     * @param slots slots that this host can use at present
     * @return the wait in nanoseconds, from queued work and recent service times
     */
    long expectedWaitNanos(UrgencyClass urgency, TeamId team, double slots);
}
