package org.banyanspoke.bench.capacity;

/**
 * Size of one measurement.
 *
 * @param servers backend servers in the configuration
 * @param teams teams in the configuration
 * @param batches batches in the configuration, at least one
 * @param startsPerSecond task starts a second by each entry host
 * @param hosts entry hosts that run
 */
public record CapacitySize(int servers, int teams, int batches, int startsPerSecond, int hosts) {
    /**
     * The design size (design, section 1) for everything but the hosts, of which the machine runs 2. 500 batches are the
     * estimate of docs/CAPACITY.md.
     */
    public static final CapacitySize DESIGN = new CapacitySize(760, 140, 500, 256, 2);
}
