package org.banyanspoke.core.pool;

import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;

/**
 * Properties that a backend server publishes about itself.
 *
 * @param id the server
 * @param service service that it belongs to
 * @param address {@code ip:port} for commands
 * @param zone its availability zone
 * @param labels hardware kind first, then the rack and other labels
 * @param cpuMillicores processor capacity, in thousandths of a core
 * @param memoryMegabytes memory capacity
 * @param gpus GPU capacity
 * @param draining whether it accepts no new tasks
 * @param startTimeMillis Unix time at which its process started, in milliseconds; changes when a server restarts under
 *     the same id, possibly with other properties; 0 if unknown
 * @param coldRemainingMillis time for which it remains slow after a period out of use; 0 if it runs at full speed
 */
public record ServerDescriptor(
        ServerId id,
        String service,
        String address,
        ZoneId zone,
        List<String> labels,
        int cpuMillicores,
        int memoryMegabytes,
        int gpus,
        boolean draining,
        long startTimeMillis,
        long coldRemainingMillis) {
    /** Creates a descriptor of a server that runs at full speed. */
    public ServerDescriptor(
            ServerId id,
            String service,
            String address,
            ZoneId zone,
            List<String> labels,
            int cpuMillicores,
            int memoryMegabytes,
            int gpus,
            boolean draining,
            long startTimeMillis) {
        this(id, service, address, zone, labels, cpuMillicores, memoryMegabytes, gpus, draining, startTimeMillis, 0);
    }

    /** Returns the descriptor with another processor capacity, in thousandths of a core. */
    public ServerDescriptor withCpuMillicores(int millicores) {
        return new ServerDescriptor(
                id,
                service,
                address,
                zone,
                labels,
                millicores,
                memoryMegabytes,
                gpus,
                draining,
                startTimeMillis,
                coldRemainingMillis);
    }

    /** Returns the descriptor with another time for which the server remains slow. */
    public ServerDescriptor withColdRemainingMillis(long millis) {
        return new ServerDescriptor(
                id,
                service,
                address,
                zone,
                labels,
                cpuMillicores,
                memoryMegabytes,
                gpus,
                draining,
                startTimeMillis,
                millis);
    }

    /** Returns the label that names the hardware kind, which determines the speed; empty if there is none. */
    public String hardwareKind() {
        return labels.isEmpty() ? "" : labels.get(0);
    }

    /** Returns whether this server, when idle, has the capacity and the label that a task requires. */
    public boolean canRun(TaskRequirements requirements) {
        return requirements.cpuMillicores() <= cpuMillicores
                && requirements.memoryMegabytes() <= memoryMegabytes
                && requirements.gpus() <= gpus
                && hasLabel(requirements.label());
    }

    /** Returns whether this server has a label; true if the label is empty. */
    public boolean hasLabel(String label) {
        return label.isEmpty() || labels.contains(label);
    }
}
