package org.banyanspoke.core.schedule;

import org.banyanspoke.core.schedule.internal.FairShareQueue;
import org.banyanspoke.core.time.MonotonicClock;

/** Creates task queues. */
public final class TaskQueues {
    private TaskQueues() {}

    /**
     * Returns an empty queue with guaranteed class shares, then teams by weight, then the earliest deadline.
     *
     * @param clock measures recent use
     */
    public static TaskQueue fairShare(MonotonicClock clock) {
        return new FairShareQueue(clock);
    }
}
