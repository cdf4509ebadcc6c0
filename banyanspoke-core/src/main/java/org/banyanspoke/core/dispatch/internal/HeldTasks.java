package org.banyanspoke.core.dispatch.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.schedule.QueuedTask;

/**
 * Tasks that a backend server did not take and that wait for another one. They have had their turn, so they are sent
 * before the queue.
 */
final class HeldTasks {
    /**
     * A task that waits for another server.
     *
     * @param avoid the server that did not take it
     * @param avoidUntilNanos when it may return to that server
     */
    record Held(RunningJob job, QueuedTask queued, ServerId avoid, long avoidUntilNanos) {}

    private final List<Held> tasks = new ArrayList<>();
    private final Map<UrgencyClass, Integer> sizes = new EnumMap<>(UrgencyClass.class);

    void add(Held held) {
        tasks.add(held);
        sizes.merge(urgency(held), 1, Integer::sum);
    }

    /** Offers each task in order of arrival and removes those that were sent. */
    void sendEach(Predicate<Held> send) {
        for (Iterator<Held> iterator = tasks.iterator(); iterator.hasNext(); ) {
            Held held = iterator.next();
            if (send.test(held)) {
                iterator.remove();
                sizes.merge(urgency(held), -1, Integer::sum);
            }
        }
    }

    /** Removes the tasks of a job and returns how many there were. */
    int removeJob(RunningJob job) {
        int before = tasks.size();
        sendEach(held -> held.job() == job);
        return before - tasks.size();
    }

    boolean isEmpty() {
        return tasks.isEmpty();
    }

    int size(UrgencyClass urgency) {
        return sizes.getOrDefault(urgency, 0);
    }

    private static UrgencyClass urgency(Held held) {
        return held.queued().batch().urgency();
    }
}
