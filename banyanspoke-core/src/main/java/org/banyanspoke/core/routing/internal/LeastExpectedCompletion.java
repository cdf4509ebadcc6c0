package org.banyanspoke.core.routing.internal;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.routing.ServerCandidate;
import org.banyanspoke.core.routing.ServerSelector;

/** Selects the server with the earliest expected completion of the task, and breaks ties at random. */
public final class LeastExpectedCompletion implements ServerSelector {
    private final UniformRandomProvider random;

    /** Creates a selector with a source for tie breaking. */
    public LeastExpectedCompletion(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public Optional<ServerCandidate> select(List<? extends ServerCandidate> candidates, TaskSpec task) {
        double declaredNanos = Math.max(1, task.declaredMillis()) * 1e6;
        ServerCandidate best = null;
        double bestNanos = Double.MAX_VALUE;
        int ties = 0;
        for (int i = 0; i < candidates.size(); i++) {
            ServerCandidate candidate = candidates.get(i);
            double nanos = expectedNanos(candidate, declaredNanos);
            if (nanos < bestNanos) {
                best = candidate;
                bestNanos = nanos;
                ties = 1;
            } else if (nanos == bestNanos && random.nextInt(++ties) == 0) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double expectedNanos(ServerCandidate candidate, double declaredNanos) {
        double loadWithTask = candidate.expectedLoad() + 1;
        double slowdown = Math.max(1, loadWithTask / candidate.slots());
        return declaredNanos * candidate.runTimeRatio() * slowdown + candidate.roundTripNanos();
    }
}
