package org.banyanspoke.scenarios.faults;

/**
 * One fault of a schedule.
 *
 * @param atMillis start, in milliseconds after the start of the run
 * @param durationMillis time until the fault is healed
 * @param kind kind of the fault
 * @param index zero-based index of the host, zone or backend server; 0 if the kind has none
 */
public record PlannedFault(long atMillis, long durationMillis, FaultKind kind, int index) {
    long endMillis() {
        return atMillis + durationMillis;
    }

    boolean overlaps(PlannedFault other) {
        return atMillis < other.endMillis() && other.atMillis < endMillis();
    }
}
