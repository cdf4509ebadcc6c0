package org.banyanspoke.core.pool.internal;

import java.util.HashMap;
import java.util.Map;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.ServerEntry;

/**
 * Learns how long tasks take against the callers' estimates: a factor for each kind of server, and one for each server
 * against its kind, which shows servers that have become slow. Estimates are rough, so both are running means.
 */
final class SpeedModel {
    /** Least weight of one run in the factor of a kind, which changes with the hardware only; the first runs weigh more. */
    private static final double KIND_WEIGHT = 0.02;
    /** Weight of one run in the factor of a server: about four runs show that it has become slow. */
    private static final double SERVER_WEIGHT = 0.25;

    private static final double SMALLEST_FACTOR = 0.1;
    private static final double LARGEST_FACTOR = 20;

    private final Map<String, Double> kindFactors = new HashMap<>();
    private final Map<String, Integer> kindRuns = new HashMap<>();
    private final Map<ServerId, Double> serverFactors = new HashMap<>();

    double expectedMillis(ServerEntry server, long estimateMillis) {
        return estimateMillis * factor(server);
    }

    /** Returns the run time on a server over the estimate. */
    double factor(ServerEntry server) {
        return kindFactor(server.kind()) * serverFactor(server.id());
    }

    /** Returns the run time on a sound server of a kind over the estimate. */
    double kindFactor(String kind) {
        return kindFactors.getOrDefault(kind, 1.0);
    }

    /** Returns the run time on a server over that on a sound server of its kind. */
    double serverFactor(ServerId server) {
        return serverFactors.getOrDefault(server, 1.0);
    }

    /** Takes note of a run that did all its work. */
    void record(ServerEntry server, long estimateMillis, long actualMillis) {
        double ratio = clamp((double) Math.max(1, actualMillis) / Math.max(1, estimateMillis));
        double againstKind = ratio / kindFactor(server.kind());
        serverFactors.merge(
                server.id(),
                mean(1.0, againstKind, SERVER_WEIGHT),
                (old, unused) -> mean(old, againstKind, SERVER_WEIGHT));
        // The first runs of a kind are averaged, with one of the estimated length before them.
        double weight = Math.max(KIND_WEIGHT, 1.0 / (1 + kindRuns.merge(server.kind(), 1, Integer::sum)));
        kindFactors.put(server.kind(), mean(kindFactor(server.kind()), ratio, weight));
    }

    void forget(ServerId server) {
        serverFactors.remove(server);
    }

    private static double mean(double old, double next, double weight) {
        return clamp(old + weight * (next - old));
    }

    private static double clamp(double factor) {
        return Math.min(LARGEST_FACTOR, Math.max(SMALLEST_FACTOR, factor));
    }
}
