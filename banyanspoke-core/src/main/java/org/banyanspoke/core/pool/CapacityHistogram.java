package org.banyanspoke.core.pool;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Processor capacities of a set of servers, in ascending steps with the number of servers in each. The capacity of a
 * step is the smallest one of its servers, so {@link #slots} never counts a task that does not fit.
 */
public final class CapacityHistogram {
    /** Histogram of no servers. */
    public static final CapacityHistogram EMPTY = new CapacityHistogram(List.of());

    private final int[] millicores;
    private final int[] servers;

    /**
     * Step of a histogram.
     *
     * @param cpuMillicores smallest capacity of the servers in this step, in thousandths of a core
     * @param servers number of servers in this step
     */
    public record Step(int cpuMillicores, int servers) {}

    /** Creates a histogram from its steps, in any order. */
    public CapacityHistogram(List<Step> steps) {
        List<Step> sorted = new ArrayList<>(steps);
        sorted.sort((a, b) -> Integer.compare(a.cpuMillicores(), b.cpuMillicores()));
        this.millicores = sorted.stream().mapToInt(Step::cpuMillicores).toArray();
        this.servers = sorted.stream().mapToInt(Step::servers).toArray();
    }

    private CapacityHistogram(int[] millicores, int[] servers) {
        this.millicores = millicores;
        this.servers = servers;
    }

    /**
     * Creates an exact histogram with one step for each distinct capacity.
     *
     * @param capacitiesMillicores capacity of each server, in thousandths of a core
     */
    public static CapacityHistogram of(int... capacitiesMillicores) {
        int[] sorted = capacitiesMillicores.clone();
        Arrays.sort(sorted);
        int[] millicores = new int[sorted.length];
        int[] servers = new int[sorted.length];
        int count = 0;
        for (int each : sorted) {
            if (count == 0 || millicores[count - 1] != each) {
                millicores[count++] = each;
            }
            servers[count - 1]++;
        }
        return new CapacityHistogram(Arrays.copyOf(millicores, count), Arrays.copyOf(servers, count));
    }

    /** Returns the steps in ascending order. */
    public List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < millicores.length; i++) {
            steps.add(new Step(millicores[i], servers[i]));
        }
        return steps;
    }

    /** Returns whether there are no servers. */
    public boolean isEmpty() {
        return millicores.length == 0;
    }

    /** Returns the largest capacity, in thousandths of a core; 0 if there are no servers. */
    public int largestMillicores() {
        return isEmpty() ? 0 : millicores[millicores.length - 1];
    }

    /** Returns the number of tasks of a size that fit, counted for each server by itself. */
    public long slots(int cpuMillicores) {
        int size = Math.max(1, cpuMillicores);
        long slots = 0;
        for (int i = millicores.length - 1; i >= 0 && millicores[i] >= size; i--) {
            slots += (long) (millicores[i] / size) * servers[i];
        }
        return slots;
    }

    /**
     * Returns a histogram with at most the given number of steps. Adjacent steps are merged in the order of the capacity
     * that this hides. The largest step is kept as it is, so a task that fits on any server still has a slot.
     *
     * @param maxSteps at least 2
     */
    public CapacityHistogram compact(int maxSteps) {
        int count = millicores.length;
        if (count <= maxSteps) {
            return this;
        }
        int[] lower = millicores.clone();
        int[] merged = servers.clone();
        while (count > maxSteps) {
            mergeIntoPrevious(cheapestMerge(lower, merged, count), lower, merged, count--);
        }
        return new CapacityHistogram(Arrays.copyOf(lower, count), Arrays.copyOf(merged, count));
    }

    /** Returns the step, except the largest one, whose merging into the previous step hides the least capacity. */
    private static int cheapestMerge(int[] lower, int[] merged, int count) {
        int best = 1;
        long bestHidden = Long.MAX_VALUE;
        for (int i = 1; i < count - 1; i++) {
            long hidden = (long) (lower[i] - lower[i - 1]) * merged[i];
            if (hidden < bestHidden) {
                best = i;
                bestHidden = hidden;
            }
        }
        return best;
    }

    private static void mergeIntoPrevious(int step, int[] lower, int[] merged, int count) {
        merged[step - 1] += merged[step];
        System.arraycopy(lower, step + 1, lower, step, count - step - 1);
        System.arraycopy(merged, step + 1, merged, step, count - step - 1);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CapacityHistogram histogram
                && Arrays.equals(millicores, histogram.millicores)
                && Arrays.equals(servers, histogram.servers);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(millicores) + Arrays.hashCode(servers);
    }

    @Override
    public String toString() {
        return steps().toString();
    }
}
