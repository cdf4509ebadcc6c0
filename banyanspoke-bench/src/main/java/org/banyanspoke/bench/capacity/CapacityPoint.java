package org.banyanspoke.bench.capacity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Figures of one point. A figure that was not measured is absent.
 *
 * @param over what varies
 * @param value its value
 * @param size size of the measurement
 * @param loadAverage load average of the machine at the end, over one minute
 * @param figures values by name; docs/bench.md defines each
 */
public record CapacityPoint(
        Dimension over, int value, CapacitySize size, double loadAverage, Map<String, Double> figures) {
    /** Copies the figures and leaves out those without a value. */
    public CapacityPoint {
        Map<String, Double> present = new TreeMap<>(figures);
        present.values().removeIf(figure -> figure == null);
        figures = present;
    }
}
