package org.banyanspoke.bench.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.banyanspoke.bench.internal.Measurement.Counts;

/**
 * Control overhead computed from daemon metrics. A figure is null if no host reports its counters; hosts restarted
 * during the run are excluded.
 *
 * @param cpuPercent mean CPU usage of the control thread, in percent of a core
 * @param bytesPerSecond mean control traffic sent and received, in bytes per second
 * @param heapMegabytes mean heap size of the control state
 * @param peerMessages total number of peer messages sent by all hosts
 */
record ControlOverhead(Double cpuPercent, Double bytesPerSecond, Double heapMegabytes, Double peerMessages) {
    private static final String CPU_NANOS = "control.cpuNanos";
    private static final String BYTES_SENT = "control.bytesSent";
    private static final String BYTES_RECEIVED = "control.bytesReceived";
    private static final String HEAP_BYTES = "control.heapBytes";
    private static final String PEER_MESSAGES = "peer.messagesSent";

    static ControlOverhead of(Counts before, Counts after) {
        double seconds = (after.atNanos() - before.atNanos()) / 1e9;
        Double cpuNanos = mean(deltas(before, after, CPU_NANOS));
        Double sent = mean(deltas(before, after, BYTES_SENT));
        Double received = mean(deltas(before, after, BYTES_RECEIVED));
        Double heapBytes = mean(values(after, HEAP_BYTES));
        List<Double> messages = deltas(before, after, PEER_MESSAGES);
        return new ControlOverhead(
                cpuNanos == null ? null : 100 * cpuNanos / 1e9 / seconds,
                sent == null || received == null ? null : (sent + received) / seconds,
                heapBytes == null ? null : heapBytes / (1 << 20),
                messages.isEmpty()
                        ? null
                        : messages.stream().mapToDouble(Double::doubleValue).sum());
    }

    private static List<Double> deltas(Counts before, Counts after, String name) {
        List<Double> deltas = new ArrayList<>();
        for (int host = 0; host < after.hostMetrics().size(); host++) {
            JsonNode from = counter(before.hostMetrics().get(host), name);
            JsonNode to = counter(after.hostMetrics().get(host), name);
            if (from.isNumber() && to.isNumber() && to.asDouble() >= from.asDouble()) {
                deltas.add(to.asDouble() - from.asDouble());
            }
        }
        return deltas;
    }

    private static List<Double> values(Counts counts, String name) {
        return counts.hostMetrics().stream()
                .map(metrics -> counter(metrics, name))
                .filter(JsonNode::isNumber)
                .map(JsonNode::asDouble)
                .toList();
    }

    private static JsonNode counter(JsonNode metrics, String name) {
        return metrics.path("counters").path(name);
    }

    private static Double mean(List<Double> values) {
        OptionalDouble mean = values.stream().mapToDouble(Double::doubleValue).average();
        return mean.isPresent() ? mean.getAsDouble() : null;
    }
}
