package org.banyanspoke.core.pool;

/**
 * What each task of a job needs.
 *
 * @param cpuMillicores processor time, in thousandths of a core
 * @param memoryMegabytes memory
 * @param gpus whole GPUs
 * @param estimateMillis the caller's rough estimate of the run time on an ordinary server
 * @param label a label that the server must have; empty for any
 * @param rack the rack that holds the data; empty for any. Other racks are slower by a known factor.
 * @param maxPerServer most tasks of the job on one server at a time; 0 for no limit
 */
public record TaskShape(
        int cpuMillicores,
        int memoryMegabytes,
        int gpus,
        long estimateMillis,
        String label,
        String rack,
        int maxPerServer) {}
