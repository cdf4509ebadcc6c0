package org.banyanspoke.core.schedule;

/** Tells whether a waiting task can be sent now. */
@FunctionalInterface
public interface Sendable {
    /**
     * Returns whether a backend server with room for the claim is eligible and the team has quota. The answer for one batch
     * and claim does not change during a poll.
     */
    boolean test(QueuedTask task, SlotClaim claim);
}
