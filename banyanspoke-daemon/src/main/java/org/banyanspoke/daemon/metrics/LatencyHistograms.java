package org.banyanspoke.daemon.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Latency histograms of a team or an urgency class.
 *
 * @param waiting time of a task from queueing to sending
 * @param service time of a task from sending to its response
 * @param total time of a job from submission to completion
 */
record LatencyHistograms(Histogram waiting, Histogram service, Histogram total) {
    /** Registers the histograms under {@code prefix.waiting}, {@code prefix.service} and {@code prefix.total}. */
    static LatencyHistograms register(MetricRegistry registry, String prefix, MonotonicClock clock) {
        return new LatencyHistograms(
                histogram(registry, prefix + ".waiting", clock),
                histogram(registry, prefix + ".service", clock),
                histogram(registry, prefix + ".total", clock));
    }

    private static Histogram histogram(MetricRegistry registry, String name, MonotonicClock clock) {
        return registry.histogram(name, () -> new Histogram(new RollingWindowReservoir(clock)));
    }
}
