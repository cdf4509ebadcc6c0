package org.banyanspoke.core.pool;

import java.util.List;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;

/**
 * A backend server as it describes itself.
 *
 * @param id the server
 * @param service the service it belongs to
 * @param address {@code ip:port} for orders
 * @param zone where it runs
 * @param labels its kind, its rack and others
 * @param cpuMillicores processor capacity, in thousandths of a core
 * @param memoryMegabytes memory capacity
 * @param gpus GPU capacity
 * @param draining whether it takes no more tasks
 * @param bornMillis Unix time of its start, in milliseconds; tells apart two lives under one id
 */
public record ServerEntry(
        ServerId id,
        String service,
        String address,
        ZoneId zone,
        List<String> labels,
        int cpuMillicores,
        int memoryMegabytes,
        int gpus,
        boolean draining,
        long bornMillis) {
    /** Returns the label that names the hardware, which decides the speed; empty if there is none. */
    public String kind() {
        return labels.isEmpty() ? "" : labels.get(0);
    }
}
