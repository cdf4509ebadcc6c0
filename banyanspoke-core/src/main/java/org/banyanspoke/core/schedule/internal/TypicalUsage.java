package org.banyanspoke.core.schedule.internal;

/**
 * Number of slots that a class or team typically uses. Without a sustained backlog, it is a moving average of the
 * slots in use. With a sustained backlog, it converges to the guaranteed share within minutes: an overload does not
 * raise it, work that had slots before the overload keeps them, and in a sustained overload the configured shares
 * take effect.
 */
final class TypicalUsage {
    private static final double USAGE_TIME_CONSTANT_NANOS = 30e9;
    private static final double GUARANTEE_TIME_CONSTANT_NANOS = 300e9;

    /**
     * Minimum typical usage as a fraction of the guaranteed slots, so that a class without usage can start at once.
     */
    private static final double MIN_GUARANTEE_FRACTION = 0.1;

    /**
     * Lower bound of the typical usage in ratios: a usage below one slot is not significant, because the number of
     * tasks in flight is an integer.
     */
    private static final double MIN_SLOTS = 1;

    /**
     * Fraction of the smaller of typical usage and guaranteed slots within which work is served first, however much
     * of it is outstanding.
     */
    private static final double PRIORITY_FRACTION = 0.5;

    private static final double MAX_OUTSTANDING_RATIO = 64;

    /**
     * Ratio of outstanding work to typical usage above which a backlog counts as an overload. In overload tests, both
     * smaller and larger ratios lowered the minimum service that was retained during the overload.
     */
    private static final double OVERLOAD_OUTSTANDING_RATIO = 24;

    private double slots;
    private double guaranteedSlots;
    private double observedNanos;
    private long lastUpdateNanos;

    TypicalUsage(long nowNanos) {
        lastUpdateNanos = nowNanos;
    }

    /** Updates the average for the time since the last call, during which the number of slots in use was constant. */
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
     * Returns the rank among classes or teams with a sustained backlog, lowest first: slots in use relative to the
     * typical usage, multiplied by the outstanding work relative to the typical usage. The work that causes an
     * overload has much more outstanding work than other work that is delayed by it. The second factor is bounded, so
     * that several simultaneous overloads share slots in proportion to their typical usage.
     */
    double rank(int inFlight, int waiting) {
        if (inFlight + 1 <= PRIORITY_FRACTION * Math.min(slots, guaranteedSlots)) {
            return 0;
        }
        double typicalSlots = Math.max(MIN_SLOTS, slots());
        double outstandingRatio = (inFlight + waiting) / typicalSlots;
        return (inFlight + 0.5) / typicalSlots * Math.max(1, Math.min(MAX_OUTSTANDING_RATIO, outstandingRatio));
    }

    /** Returns whether the outstanding work is an overload rather than a burst. */
    boolean isOverload(int inFlight, int waiting) {
        return inFlight + waiting > OVERLOAD_OUTSTANDING_RATIO * Math.max(MIN_SLOTS, slots());
    }

    /** Returns the typical number of slots in use, which is at least a fixed fraction of the guaranteed slots. */
    double slots() {
        return Math.max(slots, MIN_GUARANTEE_FRACTION * guaranteedSlots);
    }
}
