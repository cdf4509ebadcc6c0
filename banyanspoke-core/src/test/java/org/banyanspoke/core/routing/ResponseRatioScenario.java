package org.banyanspoke.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.core.routing.LoadExperiment.Job;
import org.banyanspoke.core.routing.LoadExperiment.Topology;
import org.banyanspoke.core.routing.OverloadScenario.Flow;
import org.banyanspoke.core.routing.OverloadScenario.Policy;

/** Response times relative to an ideal scheduler, on the topology of the {@code unequal80} benchmark scenario. */
final class ResponseRatioScenario {
    private static final long SECOND = LoadExperiment.SECOND;
    private static final int SLOTS = 8;
    private static final Topology TOPOLOGY = new Topology(List.of(4, 2, 1), 11, 0.02);

    private ResponseRatioScenario() {}

    /**
     * Returns the response ratios of the jobs that arrive between 10 s and 40 s, over several seeds, in ascending
     * order.
     */
    static double[] ratios(Policy policy, int firstSeed, int lastSeed) {
        List<Double> ratios = new ArrayList<>();
        for (int seed = firstSeed; seed <= lastSeed; seed++) {
            addRatios(policy, seed, ratios);
        }
        return ratios.stream().mapToDouble(ratio -> ratio).sorted().toArray();
    }

    private static void addRatios(Policy policy, long seed, List<Double> ratios) {
        LoadExperiment experiment = new LoadExperiment(policy, TOPOLOGY, 10 * SECOND, seed);
        double[] loads = {0.4, 0.24, 0.16};
        for (int i = 0; i < loads.length; i++) {
            Flow flow = new Flow(UrgencyClass.URGENT, "team" + i, loads[i], 10, 20_000);
            experiment.scheduleArrivals(flow, 0, 40 * SECOND, seed * 100 + i);
        }
        experiment.run(60 * SECOND);
        List<Job> jobs = new ArrayList<>(experiment.offered);
        jobs.sort(Comparator.comparingLong(job -> job.arrivalNanos));
        long[] idealEndNanos = idealEndNanos(jobs, experiment);
        for (int i = 0; i < jobs.size(); i++) {
            Job job = jobs.get(i);
            if (job.arrivalNanos >= 10 * SECOND) {
                double nanos = job.endNanos == 0 ? Double.POSITIVE_INFINITY : job.endNanos - job.arrivalNanos;
                ratios.add(nanos / (idealEndNanos[i] - job.arrivalNanos));
            }
        }
    }

    private record Waiting(int job, double runMillis) {}

    private record Ending(long atNanos, int server) {}

    /** Simulates one central FIFO queue that starts each task on the fastest free server without network delay. */
    private static long[] idealEndNanos(List<Job> jobs, LoadExperiment experiment) {
        int[] free = experiment.servers().stream().mapToInt(server -> SLOTS).toArray();
        long[] endNanos = new long[jobs.size()];
        PriorityQueue<Ending> endings = new PriorityQueue<>(Comparator.comparingLong(Ending::atNanos));
        Deque<Waiting> queue = new ArrayDeque<>();
        int next = 0;
        while (next < jobs.size() || !endings.isEmpty()) {
            long nowNanos;
            if (endings.isEmpty()
                    || (next < jobs.size()
                            && jobs.get(next).arrivalNanos < endings.peek().atNanos())) {
                nowNanos = jobs.get(next).arrivalNanos;
                int job = next++;
                jobs.get(job).tasks.forEach(task -> queue.add(new Waiting(job, Double.parseDouble(task.payload()))));
            } else {
                nowNanos = endings.peek().atNanos();
                free[endings.poll().server()]++;
            }
            // Servers are sorted by descending speed.
            for (int server = 0; server < free.length && !queue.isEmpty(); server++) {
                while (free[server] > 0 && !queue.isEmpty()) {
                    Waiting task = queue.poll();
                    free[server]--;
                    double runNanos = task.runMillis() * LoadExperiment.MILLI / experiment.server(server).speed;
                    long atNanos = nowNanos + (long) runNanos;
                    endings.add(new Ending(atNanos, server));
                    endNanos[task.job()] = Math.max(endNanos[task.job()], atNanos);
                }
            }
        }
        return endNanos;
    }

    /** Returns a quantile of ascending values. */
    static double quantile(double[] ascending, double part) {
        return ascending[(int) (part * (ascending.length - 1))];
    }
}
