package org.banyanspoke.host.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Generates a random fault schedule from a seed. Faults may overlap and may hit the same host or server repeatedly. */
final class FaultPlan {
    private static final long INITIAL_DELAY_MILLIS = 500;
    private static final int MEAN_GAP_MILLIS = 700;
    private static final int MIN_DURATION_MILLIS = 200;
    private static final int MAX_DURATION_MILLIS = 4_000;
    /** Probability that a fault hits the same target as the previous one. */
    private static final double SAME_TARGET_PROBABILITY = 0.3;

    /**
     * One fault.
     *
     * @param index zero-based index of the host or server; 0 for faults of the whole site
     */
    record Fault(FaultKind kind, int index, long atMillis, long endMillis) {}

    private FaultPlan() {}

    /** Returns the faults that begin and end within {@code runMillis}, by start time; depends only on the arguments. */
    static List<Fault> generate(long seed, long runMillis, int hosts, int servers) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        List<FaultKind> remainingKinds = new ArrayList<>();
        int targetNumber = 0;
        long atMillis = INITIAL_DELAY_MILLIS;
        while (true) {
            atMillis += (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS);
            long endMillis = atMillis + random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
            if (endMillis > runMillis) {
                faults.sort(Comparator.comparingLong(Fault::atMillis));
                return List.copyOf(faults);
            }
            if (remainingKinds.isEmpty()) {
                remainingKinds.addAll(Arrays.asList(FaultKind.values()));
                Collections.shuffle(remainingKinds, random);
            }
            if (random.nextDouble() >= SAME_TARGET_PROBABILITY) {
                targetNumber = random.nextInt(Integer.MAX_VALUE);
            }
            FaultKind kind = remainingKinds.remove(remainingKinds.size() - 1);
            int index =
                    switch (kind.target()) {
                        case HOST -> targetNumber % hosts;
                        case SERVER -> targetNumber % servers;
                        case SITE -> 0;
                    };
            faults.add(new Fault(kind, index, atMillis, endMillis));
        }
    }
}
