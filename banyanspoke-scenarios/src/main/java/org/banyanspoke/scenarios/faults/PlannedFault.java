package org.banyanspoke.scenarios.faults;

/**
 * One fault of a schedule.
 *
 * @param atMillis begin after the begin of the run
 * @param durationMillis time until the fault is healed
 * @param kind what happens
 * @param index the host, zone or backend server, from 0; 0 if the kind has none
 */
public record PlannedFault(long atMillis, long durationMillis, FaultKind kind, int index) {
    long endMillis() {
        return atMillis + durationMillis;
    }

    boolean overlaps(PlannedFault other) {
        return atMillis < other.endMillis() && other.atMillis < endMillis();
    }
}
