package org.banyanspoke.host.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Draws from a seed which faults come when. They come in series, overlap, and meet the same host or server again. */
final class FaultPlan {
    private static final long FIRST_MILLIS = 500;
    private static final int MEAN_GAP_MILLIS = 700;
    private static final int MIN_DURATION_MILLIS = 200;
    private static final int MAX_DURATION_MILLIS = 4_000;
    /** Share of faults that meet the object of the fault before. */
    private static final double SAME_OBJECT_SHARE = 0.3;

    /**
     * One fault.
     *
     * @param index the host or server, from 0
     */
    record Fault(FaultKind kind, int index, long atMillis, long endMillis) {}

    private FaultPlan() {}

    /** Returns the faults that begin and end within a time, in order of their begin. A function of its arguments only. */
    static List<Fault> draw(long seed, long runMillis, int hosts, int servers) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        List<FaultKind> deck = new ArrayList<>();
        int object = 0;
        long atMillis = FIRST_MILLIS;
        while (true) {
            atMillis += (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS);
            long endMillis = atMillis + random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
            if (endMillis > runMillis) {
                faults.sort(Comparator.comparingLong(Fault::atMillis));
                return List.copyOf(faults);
            }
            if (deck.isEmpty()) {
                deck.addAll(Arrays.asList(FaultKind.values()));
                Collections.shuffle(deck, random);
            }
            if (random.nextDouble() >= SAME_OBJECT_SHARE) {
                object = random.nextInt(Integer.MAX_VALUE);
            }
            FaultKind kind = deck.remove(deck.size() - 1);
            int index =
                    switch (kind.target()) {
                        case HOST -> object % hosts;
                        case SERVER -> object % servers;
                        case SITE -> 0;
                    };
            faults.add(new Fault(kind, index, atMillis, endMillis));
        }
    }
}
