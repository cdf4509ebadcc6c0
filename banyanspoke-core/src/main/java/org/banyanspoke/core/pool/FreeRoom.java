package org.banyanspoke.core.pool;

/**
 * Capacity of a pool by task size: how many tasks of a size fit now, and how many fit when all servers are idle. Memory
 * and GPUs are not included; the server that starts a task checks them.
 *
 * @param free free processor capacity of the usable servers
 * @param total processor capacity of the same servers when idle
 */
public record FreeRoom(CapacityHistogram free, CapacityHistogram total) {
    /** Room of a pool that has no servers or does not report it. */
    public static final FreeRoom UNKNOWN = new FreeRoom(CapacityHistogram.EMPTY, CapacityHistogram.EMPTY);
    /** Steps of free capacity in a message; with those of the total capacity 16 pairs. */
    private static final int MAX_FREE_STEPS = 12;
    /** Steps of total capacity in a message; there is one for each size of server. */
    private static final int MAX_TOTAL_STEPS = 4;

    /** Returns whether the room is known. */
    public boolean isKnown() {
        return !total.isEmpty();
    }

    /** Returns the number of tasks of a size that fit now. */
    public long freeSlots(int cpuMillicores) {
        return free.slots(cpuMillicores);
    }

    /** Returns the number of tasks of a size that fit when all servers are idle. */
    public long totalSlots(int cpuMillicores) {
        return total.slots(cpuMillicores);
    }

    /** Returns the rounded-down form for messages, which has at most 16 steps in all. */
    public FreeRoom compact() {
        return new FreeRoom(free.compact(MAX_FREE_STEPS), total.compact(MAX_TOTAL_STEPS));
    }
}
