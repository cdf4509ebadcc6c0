package org.banyanspoke.standins.backend;

import java.util.List;
import java.util.Map;

/**
 * One-way network delay between availability zones. The sender's zone is that of the entry host named in the job id.
 *
 * @param delayMicros delay of a request, and of its response, between different zones, in microseconds
 * @param serverZones zone of each server, in order of server index
 * @param hostZones zone of each entry host, by host id
 */
public record ZoneDelay(long delayMicros, List<String> serverZones, Map<String, String> hostZones) {
    private static final char HOST_ID_SEPARATOR = '~';

    /** Copies the collections. */
    public ZoneDelay {
        serverZones = List.copyOf(serverZones);
        hostZones = Map.copyOf(hostZones);
    }

    /** Returns the delay of a request; 0 without a job id, as in health checks, and for unknown hosts. */
    long requestDelayMicros(int server, String jobId) {
        int end = jobId == null ? -1 : jobId.indexOf(HOST_ID_SEPARATOR);
        String zone = end < 0 ? null : hostZones.get(jobId.substring(0, end));
        return zone == null || zone.equals(serverZones.get(server)) ? 0 : delayMicros;
    }
}
