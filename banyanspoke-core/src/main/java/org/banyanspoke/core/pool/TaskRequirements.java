package org.banyanspoke.core.pool;

/**
 * Resources and placement constraints of each task of a job.
 *
 * @param cpuMillicores processor share, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param gpus number of whole GPUs
 * @param estimateMillis the caller's rough estimate of the run time on a server of average speed
 * @param label label that the server must have; empty for any server
 * @param rack rack that holds the data; empty for none. Tasks in other racks are slower by a configured factor.
 * @param maxPerServer maximum number of tasks of the job on one server at a time; 0 for no limit
 */
public record TaskRequirements(
        int cpuMillicores,
        int memoryMegabytes,
        int gpus,
        long estimateMillis,
        String label,
        String rack,
        int maxPerServer) {}
