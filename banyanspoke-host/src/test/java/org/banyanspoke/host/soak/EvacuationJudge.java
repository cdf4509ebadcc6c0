package org.banyanspoke.host.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Checks that no task starts on a server of an evacuated zone later than the bound after the request. Time in which a
 * host of the zone could not read the store does not count towards the bound.
 */
final class EvacuationJudge {
    /** Bound that applies if the settings name none. */
    private static final long BOUND_MILLIS = 5_000;
    /** After a fault of the store a read times out after 1.7 s, and the next one follows within 0.8 s. */
    private static final long STORE_RECOVERY_MILLIS = 2_500;

    private final LongSupplier clockMillis;
    private final Map<String, Long> requestedAtMillis = new HashMap<>();
    private final List<Outage> outages = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private long longestDelayMillis;

    private record Outage(String zone, long fromMillis, long toMillis) {}

    EvacuationJudge(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** Records that a host of a zone cannot read the store in a period of time. */
    synchronized void recordOutage(String zone, long fromMillis, long toMillis) {
        outages.add(new Outage(zone, fromMillis, toMillis + STORE_RECOVERY_MILLIS));
    }

    /** Records that the store has acknowledged a request. */
    synchronized void requested(String zone) {
        requestedAtMillis.putIfAbsent(zone, clockMillis.getAsLong());
    }

    /** Records that the request is about to be withdrawn. */
    synchronized void withdrawing(String zone) {
        requestedAtMillis.remove(zone);
    }

    /** Checks the start of a task on a server of a zone. */
    synchronized void started(String zone, String task) {
        Long sinceMillis = requestedAtMillis.get(zone);
        if (sinceMillis == null) {
            return;
        }
        long nowMillis = clockMillis.getAsLong();
        long outageMillis = outageMillis(zone, sinceMillis, nowMillis);
        long delayMillis = nowMillis - sinceMillis - outageMillis;
        longestDelayMillis = Math.max(longestDelayMillis, delayMillis);
        if (delayMillis > BOUND_MILLIS) {
            violations.add(
                    "%s started in zone %s %d ms after its evacuation was requested, of which %d ms without the store"
                            .formatted(task, zone, nowMillis - sinceMillis, outageMillis));
        }
    }

    /** Returns the part of a period of time in which a host of the zone could not read the store. */
    private long outageMillis(String zone, long fromMillis, long toMillis) {
        long covered = 0;
        for (long millis = fromMillis; millis < toMillis; millis++) {
            long at = millis;
            if (outages.stream()
                    .anyMatch(each -> each.zone().equals(zone) && each.fromMillis() <= at && at < each.toMillis())) {
                covered++;
            }
        }
        return covered;
    }

    /** Returns the longest time between a request and a start, without the time in which the store could not be read. */
    synchronized long longestDelayMillis() {
        return longestDelayMillis;
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
