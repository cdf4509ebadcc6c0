package org.banyanspoke.daemon.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * The three histograms of one team or class.
 *
 * @param waiting from queued to sent
 * @param service from sent to answered
 * @param total of whole jobs
 */
record Timings(Histogram waiting, Histogram service, Histogram total) {
    /** Registers the histograms under {@code prefix.waiting}, {@code prefix.service} and {@code prefix.total}. */
    static Timings register(MetricRegistry registry, String prefix, MonotonicClock clock) {
        return new Timings(
                histogram(registry, prefix + ".waiting", clock),
                histogram(registry, prefix + ".service", clock),
                histogram(registry, prefix + ".total", clock));
    }

    private static Histogram histogram(MetricRegistry registry, String name, MonotonicClock clock) {
        return registry.histogram(name, () -> new Histogram(new WindowReservoir(clock)));
    }
}
