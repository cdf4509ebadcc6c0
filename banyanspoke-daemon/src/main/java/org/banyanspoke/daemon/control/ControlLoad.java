package org.banyanspoke.daemon.control;

import java.util.Map;
import org.banyanspoke.daemon.platform.PlatformTraffic;
import org.banyanspoke.peer.PeerTraffic;

/**
 * Resource usage of the control plane on this host.
 *
 * @param cpuNanos processor time of the control thread and the peer transport's thread since the start
 * @param heapBytes estimated heap of the control state
 * @param peers traffic of the peer transport
 */
public record ControlLoad(long cpuNanos, long heapBytes, PeerTraffic peers) {
    /** Returns the counters of {@code /v1/admin/metrics}; platform traffic counts as control traffic. */
    public Map<String, Long> counters(PlatformTraffic platform) {
        return Map.of(
                "control.cpuNanos",
                cpuNanos,
                "control.heapBytes",
                heapBytes,
                "control.bytesSent",
                peers.controlBytesSent() + platform.bytesSent(),
                "control.bytesReceived",
                peers.controlBytesReceived() + platform.bytesReceived(),
                "peer.messagesSent",
                peers.messagesSent());
    }
}
