package org.banyanspoke.core.routing;

import java.util.List;
import java.util.Optional;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.DispatchFilter;
import org.banyanspoke.core.schedule.QueuedTask;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.schedule.internal.FirstComeFirstServedQueue;

/** Strict priority by urgency class and FIFO within a class; serves as a baseline for comparison. */
final class StrictPriorityQueue implements TaskQueue {
    private final List<TaskQueue> classes =
            List.of(new FirstComeFirstServedQueue(), new FirstComeFirstServedQueue(), new FirstComeFirstServedQueue());

    private TaskQueue of(QueuedTask task) {
        return classes.get(task.batch().urgency().ordinal());
    }

    @Override
    public void configure(ClassShares shares) {}

    @Override
    public void add(QueuedTask task) {
        of(task).add(task);
    }

    @Override
    public Optional<QueuedTask> poll(DispatchFilter sendable) {
        return classes.stream().flatMap(queue -> queue.poll(sendable).stream()).findFirst();
    }

    @Override
    public int removeJob(JobId job) {
        return classes.stream().mapToInt(queue -> queue.removeJob(job)).sum();
    }

    @Override
    public void onSent(QueuedTask task) {}

    @Override
    public void onEnded(QueuedTask task, long serviceNanos) {
        of(task).onEnded(task, serviceNanos);
    }

    @Override
    public int size(UrgencyClass urgency) {
        return classes.get(urgency.ordinal()).size(urgency);
    }

    @Override
    public int size(TeamId team) {
        return classes.stream().mapToInt(queue -> queue.size(team)).sum();
    }

    @Override
    public long expectedWaitNanos(UrgencyClass urgency, TeamId team, double slots) {
        return classes.subList(0, urgency.ordinal() + 1).stream()
                .mapToLong(queue -> queue.expectedWaitNanos(urgency, team, slots))
                .sum();
    }
}
