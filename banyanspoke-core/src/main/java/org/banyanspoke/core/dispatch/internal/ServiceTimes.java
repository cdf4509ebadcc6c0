package org.banyanspoke.core.dispatch.internal;

import java.util.EnumMap;
import java.util.Map;
import org.banyanspoke.api.config.UrgencyClass;

/** Mean service time of completed tasks by class, as an exponentially weighted moving average. */
final class ServiceTimes {
    /** Weight of one sample; the average covers roughly the last 100 tasks. */
    private static final double SAMPLE_WEIGHT = 0.02;

    private final Map<UrgencyClass, Double> meanNanos = new EnumMap<>(UrgencyClass.class);

    void addSample(UrgencyClass urgency, long serviceNanos) {
        meanNanos.merge(urgency, (double) serviceNanos, (mean, sample) -> mean + SAMPLE_WEIGHT * (serviceNanos - mean));
    }

    /** Returns the mean, or {@code withoutSamplesNanos} before the first completed task. */
    double meanNanos(UrgencyClass urgency, double withoutSamplesNanos) {
        return meanNanos.getOrDefault(urgency, withoutSamplesNanos);
    }
}
