package org.banyanspoke.core.schedule.internal;

/**
 * Usual use of slots by a class. It follows the use while the class's work does not pile up. When it does, the level
 * turns to the guaranteed share within minutes: a flood does not raise it, work that had its place before a flood keeps
 * it, and in a lasting overload the configured shares come in force.
 */
final class UsageLevel {
    private static final double LEARN_NANOS = 30e9;
    private static final double RETURN_NANOS = 300e9;

    /** Part of the guarantee that a class without usual use gets at once. */
    private static final double LEAST_PART = 0.1;

    /** Below one slot the use says little, because tasks are whole. */
    private static final double LEAST_SLOTS = 1;

    /** Part of the lesser of usual and guaranteed use that not even outstanding work of a flood takes away. */
    private static final double HARD_PART = 0.5;

    private static final double MAX_OUTSTANDING = 64;

    /**
     * Outstanding work relative to the usual use from which on it counts as a flood. Least retained service in the tight
     * floods of the load experiment: 0.984 with 12 (bursts count as floods), 0.988 with 16, 0.990 with 24, 0.962 with 48.
     */
    private static final double FLOOD_OUTSTANDING = 24;

    private double slots;
    private double guaranteedSlots;
    private double learnedNanos;
    private long atNanos;

    UsageLevel(long nowNanos) {
        atNanos = nowNanos;
    }

    /** Accounts for the time since the last call, in which the use did not change. */
    void advance(long nowNanos, int inFlight, boolean pilesUp) {
        double elapsedNanos = nowNanos - atNanos;
        if (elapsedNanos <= 0) {
            return;
        }
        atNanos = nowNanos;
        learnedNanos += elapsedNanos;
        double target = pilesUp ? guaranteedSlots : inFlight;
        double timeNanos = Math.min(learnedNanos, pilesUp ? RETURN_NANOS : LEARN_NANOS);
        slots += Math.min(1, elapsedNanos / timeNanos) * (target - slots);
    }

    void setGuaranteedSlots(double newGuaranteedSlots) {
        guaranteedSlots = newGuaranteedSlots;
    }

    /**
     * Returns the order among classes or teams whose work piles up, least first: use relative to the usual use, times the
     * outstanding work relative to it. A flood has much more outstanding work than other work that piles up because of it.
     * The second factor is bounded, so that the shares of several floods follow their levels.
     */
    double rank(int inFlight, int waiting) {
        if (inFlight + 1 <= HARD_PART * Math.min(slots, guaranteedSlots)) {
            return 0;
        }
        double usual = Math.max(LEAST_SLOTS, slots());
        double outstanding = (inFlight + waiting) / usual;
        return (inFlight + 0.5) / usual * Math.max(1, Math.min(MAX_OUTSTANDING, outstanding));
    }

    /** Returns whether so much work is outstanding that it is a flood and not a burst. */
    boolean isFlood(int inFlight, int waiting) {
        return inFlight + waiting > FLOOD_OUTSTANDING * Math.max(LEAST_SLOTS, slots());
    }

    /** Returns the usual use. */
    double slots() {
        return Math.max(slots, LEAST_PART * guaranteedSlots);
    }
}
