package org.banyanspoke.core.schedule;

import java.util.Optional;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;

/** Queue of the waiting tasks of one entry host, in the order in which they are to be sent. */
public interface TaskQueue {
    /** Sets the guaranteed shares of the urgency classes. */
    void configure(ClassShares shares);

    /** Adds a task, which may be one that was polled and could not be sent. */
    void add(QueuedTask task);

    /**
     * Removes the next task to send.
     *
     * @param filter determines whether a task can be sent now, given the slots that it may use
     * @return the first task in order that the filter accepts, or empty if there is none
     */
    Optional<QueuedTask> poll(DispatchFilter filter);

    /** Removes all waiting tasks of a job and returns the number of tasks removed. */
    int removeJob(JobId job);

    /** Records that a polled task was sent and occupies a slot. */
    void onSent(QueuedTask task);

    /** Records that a sent task has ended and released its slot. */
    void onEnded(QueuedTask task, long serviceNanos);

    /** Returns the number of waiting tasks of a class. */
    int size(UrgencyClass urgency);

    /** Returns the number of waiting tasks of a team. */
    int size(TeamId team);

    /**
     * Estimates the wait of a new task from the queued tasks and recent service times.
     *
     * @param slots slots that this host can currently use
     * @return the estimated wait in nanoseconds
     */
    long expectedWaitNanos(UrgencyClass urgency, TeamId team, double slots);
}
