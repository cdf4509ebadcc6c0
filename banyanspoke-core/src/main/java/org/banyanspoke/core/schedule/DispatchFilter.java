package org.banyanspoke.core.schedule;

/** Tells whether a waiting task can be sent now. */
@FunctionalInterface
public interface DispatchFilter {
    /**
     * Returns whether a backend server with room for the access is eligible and the team has quota. The answer for one batch
     * and access does not change during a poll.
     */
    boolean test(QueuedTask task, SlotAccess access);
}
