package org.banyanspoke.bench.internal;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Ideal response times from a simulation of one central FIFO queue that starts each task on the fastest free server,
 * knows actual run times and server speeds, and has no messaging overhead.
 */
public final class IdealModel {
    private static final double NANOS_PER_MILLI = 1e6;

    /** A task that waits for a free slot. */
    private record QueuedTask(PlannedJob job, double runMillis) {}

    /** The completion of a running task. */
    private record TaskCompletion(double atNanos, int server, PlannedJob job) {}

    private final double[] speeds;
    private final int[] freeSlots;
    private final PriorityQueue<TaskCompletion> completions =
            new PriorityQueue<>(Comparator.comparingDouble(TaskCompletion::atNanos));
    private final Deque<QueuedTask> queue = new ArrayDeque<>();
    private final Map<Integer, Double> lastCompletionNanos = new HashMap<>();

    /**
     * @param speeds speed of each server
     * @param slotsPerServer number of tasks that a server runs concurrently
     */
    public IdealModel(List<Double> speeds, int slotsPerServer) {
        this.speeds = speeds.stream()
                .sorted(Comparator.reverseOrder())
                .mapToDouble(Double::doubleValue)
                .toArray();
        freeSlots = new int[this.speeds.length];
        Arrays.fill(freeSlots, slotsPerServer);
    }

    /**
     * Returns the response times in nanoseconds by job index. May be called only once.
     *
     * @param jobs jobs in order of arrival
     */
    public Map<Integer, Double> responseNanos(List<PlannedJob> jobs) {
        for (PlannedJob job : jobs) {
            completeTasksUntil(job.arrivalNanos());
            for (double runMillis : job.runMillis()) {
                queue.add(new QueuedTask(job, runMillis));
            }
            startTasks(job.arrivalNanos());
        }
        completeTasksUntil(Double.POSITIVE_INFINITY);
        Map<Integer, Double> responses = new HashMap<>();
        jobs.forEach(job -> responses.put(job.index(), lastCompletionNanos.get(job.index()) - job.arrivalNanos()));
        return responses;
    }

    private void completeTasksUntil(double nowNanos) {
        while (!completions.isEmpty() && completions.peek().atNanos() <= nowNanos) {
            TaskCompletion completion = completions.poll();
            freeSlots[completion.server()]++;
            lastCompletionNanos.merge(completion.job().index(), completion.atNanos(), Math::max);
            startTasks(completion.atNanos());
        }
    }

    private void startTasks(double nowNanos) {
        int server = fastestFreeServer();
        while (server >= 0 && !queue.isEmpty()) {
            QueuedTask task = queue.poll();
            freeSlots[server]--;
            double completionNanos = nowNanos + task.runMillis() * NANOS_PER_MILLI / speeds[server];
            completions.add(new TaskCompletion(completionNanos, server, task.job()));
            server = fastestFreeServer();
        }
    }

    private int fastestFreeServer() {
        for (int server = 0; server < freeSlots.length; server++) {
            if (freeSlots[server] > 0) {
                return server;
            }
        }
        return -1;
    }
}
