package org.banyanspoke.core.pool.internal;

import java.util.HashMap;
import java.util.Map;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.ServerDescriptor;

/**
 * Estimates run times from observed runs: keeps the ratio of run time to the caller's estimate for each hardware kind,
 * and the ratio of each server to its kind, which exposes servers that have become slow. Callers' estimates are rough,
 * so both are running means.
 */
final class RunTimeModel {
    /**
     * Minimum weight of a run in the factor of a kind, which depends only on the hardware; the first runs weigh more.
     */
    private static final double MIN_KIND_WEIGHT = 0.02;
    /** Weight of a run in the factor of a server; about four runs are enough to detect that it has become slow. */
    private static final double SERVER_WEIGHT = 0.25;

    private static final double MIN_FACTOR = 0.1;
    private static final double MAX_FACTOR = 20;

    private final Map<String, Double> kindFactors = new HashMap<>();
    private final Map<String, Integer> kindRuns = new HashMap<>();
    private final Map<ServerId, Double> serverFactors = new HashMap<>();

    double expectedMillis(ServerDescriptor server, long estimateMillis) {
        return estimateMillis * factor(server);
    }

    /** Returns the expected ratio of run time to estimate on a server. */
    double factor(ServerDescriptor server) {
        return kindFactor(server.hardwareKind()) * serverFactor(server.id());
    }

    /** Returns the expected ratio of run time to estimate on a healthy server of a kind. */
    double kindFactor(String kind) {
        return kindFactors.getOrDefault(kind, 1.0);
    }

    /** Returns the expected ratio of the run time on a server to that on a healthy server of its kind. */
    double serverFactor(ServerId server) {
        return serverFactors.getOrDefault(server, 1.0);
    }

    /** Records a completed run. */
    void record(ServerDescriptor server, long estimateMillis, long actualMillis) {
        double ratio = clamp((double) Math.max(1, actualMillis) / Math.max(1, estimateMillis));
        double againstKind = ratio / kindFactor(server.hardwareKind());
        serverFactors.merge(
                server.id(),
                weightedMean(1.0, againstKind, SERVER_WEIGHT),
                (previous, unused) -> weightedMean(previous, againstKind, SERVER_WEIGHT));
        // The first runs of a kind are averaged, starting from one assumed run that took as long as estimated.
        double weight = Math.max(MIN_KIND_WEIGHT, 1.0 / (1 + kindRuns.merge(server.hardwareKind(), 1, Integer::sum)));
        kindFactors.put(server.hardwareKind(), weightedMean(kindFactor(server.hardwareKind()), ratio, weight));
    }

    void forget(ServerId server) {
        serverFactors.remove(server);
    }

    private static double weightedMean(double previous, double sample, double weight) {
        return clamp(previous + weight * (sample - previous));
    }

    private static double clamp(double factor) {
        return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
    }
}
