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
    /** Longer than the time after which nothing may start in an evacuated zone. */
    private static final int MAX_EVACUATION_MILLIS = 9_000;

    private static final int MAX_EVACUATION_GAP_MILLIS = 5_000;
    /** Probability that a fault hits the same target as the previous one. */
    private static final double SAME_TARGET_PROBABILITY = 0.3;

    /**
     * One fault.
     *
     * @param index zero-based index of the host, server or zone; 0 for faults of the whole site
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
                addEvacuations(faults, seed, runMillis);
                faults.sort(Comparator.comparingLong(Fault::atMillis));
                return List.copyOf(faults);
            }
            if (remainingKinds.isEmpty()) {
                remainingKinds.addAll(Arrays.asList(FaultKind.values()));
                remainingKinds.remove(FaultKind.ZONE_EVACUATED);
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
                        case ZONE -> throw new IllegalStateException("evacuations have a schedule of their own");
                    };
            faults.add(new Fault(kind, index, atMillis, endMillis));
        }
    }

    /**
     * Adds evacuations, which last longer than other faults. They are drawn separately, so that the other faults of a
     * seed stay what they were when it failed.
     */
    private static void addEvacuations(List<Fault> faults, long seed, long runMillis) {
        for (int zone = 0; zone < SoakSite.ZONES.size(); zone++) {
            Random random = new Random(31 * seed + zone);
            long atMillis = 0;
            while (true) {
                atMillis += random.nextInt(MIN_DURATION_MILLIS, MAX_EVACUATION_GAP_MILLIS);
                long endMillis = atMillis + random.nextInt(MIN_DURATION_MILLIS, MAX_EVACUATION_MILLIS);
                if (endMillis > runMillis) {
                    break;
                }
                faults.add(new Fault(FaultKind.ZONE_EVACUATED, zone, atMillis, endMillis));
                atMillis = endMillis;
            }
        }
    }
}
