package org.banyanspoke.core.schedule.internal;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.QueuedTask;
import org.banyanspoke.core.schedule.Sendable;
import org.banyanspoke.core.schedule.SlotClaim;
import org.banyanspoke.core.schedule.TaskQueue;

/**
 * The queue of the {@code baseline} policy: jobs in order of arrival, whatever their class, team and deadline. A job whose
 * batch has no sendable task does not block jobs of other batches.
 */
public final class FirstComeFirstServedQueue implements TaskQueue {
    /** Weight of one sample in the mean service time: the mean follows the last 100 tasks or so. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /** Waiting tasks of one job. */
    private static final class Group {
        final long arrival;
        final BatchId batch;
        final ArrayDeque<QueuedTask> tasks = new ArrayDeque<>();

        Group(long arrival, BatchId batch) {
            this.arrival = arrival;
            this.batch = batch;
        }
    }

    private final Map<JobId, Group> groups = new HashMap<>();
    private final Map<BatchId, TreeMap<Long, Group>> byBatch = new HashMap<>();
    /** The first job of each batch, in order of arrival. */
    private final TreeSet<Group> heads = new TreeSet<>(Comparator.comparingLong((Group group) -> group.arrival));

    private final Map<UrgencyClass, Integer> sizeByClass = new EnumMap<>(UrgencyClass.class);
    private final Map<TeamId, Integer> sizeByTeam = new HashMap<>();
    private int size;
    private long lastArrival;
    private double meanServiceNanos;

    @Override
    public void configure(ClassShares shares) {
        // Shares do not matter to this order.
    }

    @Override
    public void add(QueuedTask task) {
        Group group = groups.get(task.job());
        if (group == null) {
            group = addGroup(task);
        }
        group.tasks.addLast(task);
        count(task, 1);
    }

    private Group addGroup(QueuedTask task) {
        lastArrival++;
        Group group = new Group(lastArrival, task.batch().id());
        groups.put(task.job(), group);
        TreeMap<Long, Group> batch = byBatch.computeIfAbsent(group.batch, id -> new TreeMap<>());
        batch.put(group.arrival, group);
        if (batch.size() == 1) {
            heads.add(group);
        }
        return group;
    }

    @Override
    public Optional<QueuedTask> poll(Sendable sendable) {
        for (Group group : heads) {
            if (sendable.test(group.tasks.getFirst(), SlotClaim.PROTECTED)) {
                return Optional.of(take(group));
            }
        }
        return Optional.empty();
    }

    private QueuedTask take(Group group) {
        QueuedTask task = group.tasks.removeFirst();
        count(task, -1);
        if (group.tasks.isEmpty()) {
            removeGroup(task.job(), group);
        }
        return task;
    }

    private void removeGroup(JobId job, Group group) {
        groups.remove(job);
        TreeMap<Long, Group> batch = byBatch.get(group.batch);
        batch.remove(group.arrival);
        boolean wasHead = heads.remove(group);
        if (batch.isEmpty()) {
            byBatch.remove(group.batch);
        } else if (wasHead) {
            heads.add(batch.firstEntry().getValue());
        }
    }

    @Override
    public int removeJob(JobId job) {
        Group group = groups.get(job);
        if (group == null) {
            return 0;
        }
        int removed = group.tasks.size();
        count(group.tasks.getFirst(), -removed);
        removeGroup(job, group);
        return removed;
    }

    private void count(QueuedTask task, int change) {
        size += change;
        sizeByClass.merge(task.batch().urgency(), change, Integer::sum);
        sizeByTeam.merge(task.batch().team(), change, FirstComeFirstServedQueue::sumOrNone);
    }

    /** Drops the entry of a team without waiting tasks. */
    private static Integer sumOrNone(int a, int b) {
        return a + b == 0 ? null : a + b;
    }

    @Override
    public void onSent(QueuedTask task) {
        // Slots do not matter to this order.
    }

    @Override
    public void onEnded(QueuedTask task, long serviceNanos) {
        meanServiceNanos = meanServiceNanos == 0
                ? serviceNanos
                : meanServiceNanos + SAMPLE_WEIGHT * (serviceNanos - meanServiceNanos);
    }

    @Override
    public int size(UrgencyClass urgency) {
        return sizeByClass.getOrDefault(urgency, 0);
    }

    @Override
    public int size(TeamId team) {
        return sizeByTeam.getOrDefault(team, 0);
    }

    @Override
    public long expectedWaitNanos(UrgencyClass urgency, TeamId team, double slots) {
        return (long) (size * meanServiceNanos / Math.max(1, slots));
    }
}
