package org.banyanspoke.core.schedule.internal;

/**
 * Usual use of slots by a class. It follows the use while the class's work does not pile up. When it does, the level
 * turns to the guaranteed share within minutes: a flood does not raise it, work that had its place before a flood keeps
 * it, and in a lasting overload the configured shares come in force.
 */
final class TypicalUsage {
    private static final double USAGE_TIME_CONSTANT_NANOS = 30e9;
    private static final double GUARANTEE_TIME_CONSTANT_NANOS = 300e9;

    /** Part of the guarantee that a class without typicalSlots use gets at once. */
    private static final double MIN_GUARANTEE_FRACTION = 0.1;

    /** Below one slot the use says little, because tasks are whole. */
    private static final double MIN_SLOTS = 1;

    /** Part of the lesser of typicalSlots and guaranteed use that not even outstandingRatio work of a flood takes away. */
    private static final double PRIORITY_FRACTION = 0.5;

    private static final double MAX_OUTSTANDING_RATIO = 64;

    /**
     * Outstanding work relative to the typicalSlots use from which on it counts as a flood. Least retained service in the tight
     * floods of the load experiment: 0.984 with 12, 0.988 with 16, 0.990 with 24 (seeds 1 to 10), 0.962 with 48 (seeds 1
     * to 5).
     */
    private static final double OVERLOAD_OUTSTANDING_RATIO = 24;

    private double slots;
    private double guaranteedSlots;
    private double observedNanos;
    private long lastUpdateNanos;

    TypicalUsage(long nowNanos) {
        lastUpdateNanos = nowNanos;
    }

    /** Accounts for the time since the last call, in which the use did not change. */
    void update(long nowNanos, int inFlight, boolean sustainedBacklog) {
        double elapsedNanos = nowNanos - lastUpdateNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        lastUpdateNanos = nowNanos;
        observedNanos += elapsedNanos;
        double target = sustainedBacklog ? guaranteedSlots : inFlight;
        double timeConstantNanos =
                Math.min(observedNanos, sustainedBacklog ? GUARANTEE_TIME_CONSTANT_NANOS : USAGE_TIME_CONSTANT_NANOS);
        slots += Math.min(1, elapsedNanos / timeConstantNanos) * (target - slots);
    }

    void setGuaranteedSlots(double newGuaranteedSlots) {
        guaranteedSlots = newGuaranteedSlots;
    }

    /**
     * Returns the order among classes or teams whose work piles up, least first: use relative to the typicalSlots use, times the
     * outstandingRatio work relative to it. A flood has much more outstandingRatio work than other work that piles up because of it.
     * The second factor is bounded, so that the shares of several floods follow their levels.
     */
    double rank(int inFlight, int waiting) {
        if (inFlight + 1 <= PRIORITY_FRACTION * Math.min(slots, guaranteedSlots)) {
            return 0;
        }
        double typicalSlots = Math.max(MIN_SLOTS, slots());
        double outstandingRatio = (inFlight + waiting) / typicalSlots;
        return (inFlight + 0.5) / typicalSlots * Math.max(1, Math.min(MAX_OUTSTANDING_RATIO, outstandingRatio));
    }

    /** Returns whether so much work is outstandingRatio that it is a flood and not a burst. */
    boolean isOverload(int inFlight, int waiting) {
        return inFlight + waiting > OVERLOAD_OUTSTANDING_RATIO * Math.max(MIN_SLOTS, slots());
    }

    /** Returns the typicalSlots use. */
    double slots() {
        return Math.max(slots, MIN_GUARANTEE_FRACTION * guaranteedSlots);
    }
}
