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
import org.banyanspoke.core.schedule.DispatchFilter;
import org.banyanspoke.core.schedule.QueuedTask;
import org.banyanspoke.core.schedule.SlotAccess;
import org.banyanspoke.core.schedule.TaskQueue;

/**
 * Queue of the {@code baseline} policy, which serves jobs in order of arrival, regardless of class, team and
 * deadline. A job whose batch has no sendable task does not block jobs of other batches.
 */
public final class FirstComeFirstServedQueue implements TaskQueue {
    /** Weight of one sample in the mean service time; the mean covers roughly the last 100 tasks. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /** Job with waiting tasks. */
    private static final class WaitingJob {
        final long arrivalNumber;
        final BatchId batch;
        final ArrayDeque<QueuedTask> tasks = new ArrayDeque<>();

        WaitingJob(long arrivalNumber, BatchId batch) {
            this.arrivalNumber = arrivalNumber;
            this.batch = batch;
        }
    }

    private final Map<JobId, WaitingJob> waitingJobs = new HashMap<>();
    private final Map<BatchId, TreeMap<Long, WaitingJob>> byBatch = new HashMap<>();
    /** First job of each batch, in order of arrival. */
    private final TreeSet<WaitingJob> batchHeads =
            new TreeSet<>(Comparator.comparingLong((WaitingJob waitingJob) -> waitingJob.arrivalNumber));

    private final Map<UrgencyClass, Integer> sizeByClass = new EnumMap<>(UrgencyClass.class);
    private final Map<TeamId, Integer> sizeByTeam = new HashMap<>();
    private int size;
    private long lastArrivalNumber;
    private double meanServiceNanos;

    @Override
    public void configure(ClassShares shares) {
        // The order does not depend on class shares.
    }

    @Override
    public void add(QueuedTask task) {
        WaitingJob waitingJob = waitingJobs.get(task.job());
        if (waitingJob == null) {
            waitingJob = addWaitingJob(task);
        }
        waitingJob.tasks.addLast(task);
        adjustSizes(task, 1);
    }

    private WaitingJob addWaitingJob(QueuedTask task) {
        lastArrivalNumber++;
        WaitingJob waitingJob = new WaitingJob(lastArrivalNumber, task.batch().id());
        waitingJobs.put(task.job(), waitingJob);
        TreeMap<Long, WaitingJob> batch = byBatch.computeIfAbsent(waitingJob.batch, id -> new TreeMap<>());
        batch.put(waitingJob.arrivalNumber, waitingJob);
        if (batch.size() == 1) {
            batchHeads.add(waitingJob);
        }
        return waitingJob;
    }

    @Override
    public Optional<QueuedTask> poll(DispatchFilter filter) {
        for (WaitingJob waitingJob : batchHeads) {
            if (filter.test(waitingJob.tasks.getFirst(), SlotAccess.ALL_SLOTS)) {
                return Optional.of(take(waitingJob));
            }
        }
        return Optional.empty();
    }

    private QueuedTask take(WaitingJob waitingJob) {
        QueuedTask task = waitingJob.tasks.removeFirst();
        adjustSizes(task, -1);
        if (waitingJob.tasks.isEmpty()) {
            removeWaitingJob(task.job(), waitingJob);
        }
        return task;
    }

    private void removeWaitingJob(JobId job, WaitingJob waitingJob) {
        waitingJobs.remove(job);
        TreeMap<Long, WaitingJob> batch = byBatch.get(waitingJob.batch);
        batch.remove(waitingJob.arrivalNumber);
        boolean wasHead = batchHeads.remove(waitingJob);
        if (batch.isEmpty()) {
            byBatch.remove(waitingJob.batch);
        } else if (wasHead) {
            batchHeads.add(batch.firstEntry().getValue());
        }
    }

    @Override
    public int removeJob(JobId job) {
        WaitingJob waitingJob = waitingJobs.get(job);
        if (waitingJob == null) {
            return 0;
        }
        int removed = waitingJob.tasks.size();
        adjustSizes(waitingJob.tasks.getFirst(), -removed);
        removeWaitingJob(job, waitingJob);
        return removed;
    }

    private void adjustSizes(QueuedTask task, int change) {
        size += change;
        sizeByClass.merge(task.batch().urgency(), change, Integer::sum);
        sizeByTeam.merge(task.batch().team(), change, FirstComeFirstServedQueue::sumOrNull);
    }

    /** Returns null for a sum of 0, which removes the map entry of a team without waiting tasks. */
    private static Integer sumOrNull(int a, int b) {
        return a + b == 0 ? null : a + b;
    }

    @Override
    public void onSent(QueuedTask task) {
        // The order does not depend on occupied slots.
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
