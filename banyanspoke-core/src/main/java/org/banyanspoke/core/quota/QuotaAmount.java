package org.banyanspoke.core.quota;

/**
 * Portion of one team's quota. Integer fields make sums exact.
 *
 * @param microStartsPerSecond task starts per second, in millionths
 * @param tasksInFlight number of waiting and running tasks
 */
public record QuotaAmount(long microStartsPerSecond, long tasksInFlight) {
    public static final QuotaAmount ZERO = new QuotaAmount(0, 0);

    /** Millionths per unit: the scale of {@link #microStartsPerSecond}. */
    public static final double MICROS = 1e6;

    /** Returns the task starts per second. */
    public double startsPerSecond() {
        return microStartsPerSecond / MICROS;
    }

    /** Returns whether both fields are 0. */
    public boolean isZero() {
        return microStartsPerSecond == 0 && tasksInFlight == 0;
    }

    /** Returns the field-wise sum. */
    public QuotaAmount plus(QuotaAmount other) {
        return new QuotaAmount(microStartsPerSecond + other.microStartsPerSecond, tasksInFlight + other.tasksInFlight);
    }

    /** Returns the field-wise difference, with negative results set to 0. */
    public QuotaAmount minus(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(0, microStartsPerSecond - other.microStartsPerSecond),
                Math.max(0, tasksInFlight - other.tasksInFlight));
    }

    /** Returns half of each field, rounded down. */
    public QuotaAmount half() {
        return new QuotaAmount(microStartsPerSecond / 2, tasksInFlight / 2);
    }

    /** Returns the field-wise minimum. */
    public QuotaAmount min(QuotaAmount other) {
        return new QuotaAmount(
                Math.min(microStartsPerSecond, other.microStartsPerSecond),
                Math.min(tasksInFlight, other.tasksInFlight));
    }

    /** Returns the field-wise maximum. */
    public QuotaAmount max(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(microStartsPerSecond, other.microStartsPerSecond),
                Math.max(tasksInFlight, other.tasksInFlight));
    }
}
