package org.banyanspoke.bench.capacity;

/**
 * Size of the system in a capacity measurement.
 *
 * @param servers number of configured backend servers
 * @param teams number of configured client accounts
 * @param batches number of configured batches, at least one
 * @param startsPerSecond task starts per second on each entry host
 * @param hosts number of running entry hosts
 */
public record CapacitySize(int servers, int teams, int batches, int startsPerSecond, int hosts) {
    /**
     * Design size (design, section 1), but with 2 hosts, as all run on one machine. 500 batches are the estimate of
     * docs/CAPACITY.md.
     */
    public static final CapacitySize DESIGN = new CapacitySize(760, 140, 500, 256, 2);
}
