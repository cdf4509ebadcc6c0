package org.banyanspoke.bench.capacity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Measured figures at one value of a dimension. Figures that were not measured are absent.
 *
 * @param over varied dimension
 * @param value value of the dimension
 * @param size size of the measurement
 * @param loadAverage one-minute load average of the machine at the end
 * @param figures figures by name; docs/bench.md defines each
 */
public record CapacityPoint(
        Dimension over, int value, CapacitySize size, double loadAverage, Map<String, Double> figures) {
    /** Makes a defensive copy of the figures, without null values. */
    public CapacityPoint {
        Map<String, Double> present = new TreeMap<>(figures);
        present.values().removeIf(figure -> figure == null);
        figures = present;
    }
}
