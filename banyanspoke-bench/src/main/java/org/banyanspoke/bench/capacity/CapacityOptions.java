package org.banyanspoke.bench.capacity;

import java.nio.file.Path;

/**
 * Options of a capacity measurement that are the same at every point.
 *
 * @param home directory that holds {@code bin}
 * @param seed decides arrivals
 * @param seconds measured time in seconds
 * @param warmupSeconds time with load before the measured time, in seconds
 * @param hostHeapMegabytes largest heap of an entry host
 */
public record CapacityOptions(Path home, long seed, double seconds, double warmupSeconds, int hostHeapMegabytes) {}
