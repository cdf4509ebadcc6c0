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
 * Tasks that a backend server did not accept and that wait to be retried. They have already been polled from the task
 * queue, so they are sent before any queued task.
 */
final class RetryQueue {
    /**
     * Task that waits to be retried.
     *
     * @param excludedServer the server that did not accept the task
     * @param excludedUntilNanos monotonic time until which the task is not sent to that server
     */
    record Retry(RunningJob job, QueuedTask queued, ServerId excludedServer, long excludedUntilNanos) {}

    private final List<Retry> retries = new ArrayList<>();
    private final Map<UrgencyClass, Integer> sizeByClass = new EnumMap<>(UrgencyClass.class);

    void add(Retry retry) {
        retries.add(retry);
        sizeByClass.merge(urgency(retry), 1, Integer::sum);
    }

    /** Passes each retry to the predicate in order of arrival and removes it if the predicate returns true. */
    void removeIf(Predicate<Retry> condition) {
        for (Iterator<Retry> iterator = retries.iterator(); iterator.hasNext(); ) {
            Retry retry = iterator.next();
            if (condition.test(retry)) {
                iterator.remove();
                sizeByClass.merge(urgency(retry), -1, Integer::sum);
            }
        }
    }

    /** Removes the retries of a job and returns how many there were. */
    int removeJob(RunningJob job) {
        int before = retries.size();
        removeIf(retry -> retry.job() == job);
        return before - retries.size();
    }

    boolean isEmpty() {
        return retries.isEmpty();
    }

    int size(UrgencyClass urgency) {
        return sizeByClass.getOrDefault(urgency, 0);
    }

    private static UrgencyClass urgency(Retry retry) {
        return retry.queued().batch().urgency();
    }
}
