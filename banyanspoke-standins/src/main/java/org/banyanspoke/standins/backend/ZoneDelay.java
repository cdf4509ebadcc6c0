package org.banyanspoke.standins.backend;

import java.util.List;
import java.util.Map;

/**
 * One-way network delay between zones. The zone of a caller follows from the host that owns the job, which the job id names.
 *
 * @param delayMicros delay of a request, and of its response, between different zones in microseconds
 * @param serverZones zone of each server in the order of their ids
 * @param hostZones zone of each entry host by id
 */
public record ZoneDelay(long delayMicros, List<String> serverZones, Map<String, String> hostZones) {
    private static final char HOST_END = '~';

    /** Copies the collections. */
    public ZoneDelay {
        serverZones = List.copyOf(serverZones);
        hostZones = Map.copyOf(hostZones);
    }

    /** Returns the delay of a request with a job id; 0 without one, as in health checks, and for unknown hosts. */
    long micros(int server, String jobId) {
        int end = jobId == null ? -1 : jobId.indexOf(HOST_END);
        String zone = end < 0 ? null : hostZones.get(jobId.substring(0, end));
        return zone == null || zone.equals(serverZones.get(server)) ? 0 : delayMicros;
    }
}
