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
 * Ideal response times: the same arrivals on one central queue in order of arrival, which knows true run times and
 * server speeds, starts each task on the fastest free server and sends no messages.
 */
public final class IdealModel {
    private static final double NANOS_PER_MILLI = 1e6;

    /** A task in the order of arrival. */
    private record Waiting(PlannedJob job, double runMillis) {}

    /** A task that ends. */
    private record Ending(double atNanos, int server, PlannedJob job) {}

    private final double[] speeds;
    private final int[] freeSlots;
    private final PriorityQueue<Ending> endings = new PriorityQueue<>(Comparator.comparingDouble(Ending::atNanos));
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Map<Integer, Double> lastEndNanos = new HashMap<>();

    /**
     * @param speeds speed of each server
     * @param slotsPerServer tasks that a server executes at once
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
     * Returns the response time in nanoseconds by job index. Called once.
     *
     * @param jobs the jobs in the order of arrival
     */
    public Map<Integer, Double> responseNanos(List<PlannedJob> jobs) {
        for (PlannedJob job : jobs) {
            endTasksUntil(job.arrivalNanos());
            for (double runMillis : job.runMillis()) {
                queue.add(new Waiting(job, runMillis));
            }
            startTasks(job.arrivalNanos());
        }
        endTasksUntil(Double.POSITIVE_INFINITY);
        Map<Integer, Double> responses = new HashMap<>();
        jobs.forEach(job -> responses.put(job.index(), lastEndNanos.get(job.index()) - job.arrivalNanos()));
        return responses;
    }

    private void endTasksUntil(double nowNanos) {
        while (!endings.isEmpty() && endings.peek().atNanos() <= nowNanos) {
            Ending ending = endings.poll();
            freeSlots[ending.server()]++;
            lastEndNanos.merge(ending.job().index(), ending.atNanos(), Math::max);
            startTasks(ending.atNanos());
        }
    }

    private void startTasks(double nowNanos) {
        int server = fastestFree();
        while (server >= 0 && !queue.isEmpty()) {
            Waiting task = queue.poll();
            freeSlots[server]--;
            double endNanos = nowNanos + task.runMillis() * NANOS_PER_MILLI / speeds[server];
            endings.add(new Ending(endNanos, server, task.job()));
            server = fastestFree();
        }
    }

    private int fastestFree() {
        for (int server = 0; server < freeSlots.length; server++) {
            if (freeSlots[server] > 0) {
                return server;
            }
        }
        return -1;
    }
}
