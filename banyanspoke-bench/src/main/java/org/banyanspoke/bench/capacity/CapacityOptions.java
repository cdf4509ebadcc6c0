package org.banyanspoke.bench.capacity;

import java.nio.file.Path;

/**
 * Options of a capacity measurement, common to all points.
 *
 * @param home directory that holds {@code bin}
 * @param seed random seed of arrivals
 * @param seconds measurement time in seconds
 * @param warmupSeconds warm-up time under load before the measurement, in seconds
 * @param hostHeapMegabytes maximum heap size of an entry host
 */
public record CapacityOptions(Path home, long seed, double seconds, double warmupSeconds, int hostHeapMegabytes) {}
