package org.banyanspoke.core.schedule;

import org.banyanspoke.core.schedule.internal.FairShareQueue;
import org.banyanspoke.core.time.MonotonicClock;

/** Creates task queues. */
public final class TaskQueues {
    private TaskQueues() {}

    /**
     * Returns an empty queue that orders tasks by guaranteed class shares, then by team weight, then by earliest
     * deadline.
     *
     * @param clock time source for the measurement of recent usage
     */
    public static TaskQueue fairShare(MonotonicClock clock) {
        return new FairShareQueue(clock);
    }
}
