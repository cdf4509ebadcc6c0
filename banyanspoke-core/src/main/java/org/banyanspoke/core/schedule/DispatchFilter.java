package org.banyanspoke.core.schedule;

/** Determines whether a waiting task can be sent now. */
@FunctionalInterface
public interface DispatchFilter {
    /**
     * Returns whether an eligible backend server has a free slot of the given kind and the quota of the team permits
     * a start. The result for a given batch and slot access does not change during a poll.
     */
    boolean test(QueuedTask task, SlotAccess access);
}
