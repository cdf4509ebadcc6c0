package org.banyanspoke.core.quota;

/**
 * A part of one team's quota. Integers, so that parts add up exactly.
 *
 * @param microStartsPerSecond task starts a second, in millionths
 * @param tasksInFlight waiting and running tasks
 */
public record QuotaAmount(long microStartsPerSecond, long tasksInFlight) {
    /** No share. */
    public static final QuotaAmount NONE = new QuotaAmount(0, 0);

    /** Millionths in one task start a second. */
    public static final double MICROS = 1e6;

    /** Returns task starts a second. */
    public double startsPerSecond() {
        return microStartsPerSecond / MICROS;
    }

    /** Returns whether both parts are 0. */
    public boolean isNone() {
        return microStartsPerSecond == 0 && tasksInFlight == 0;
    }

    /** Adds each part. */
    public QuotaAmount plus(QuotaAmount other) {
        return new QuotaAmount(microStartsPerSecond + other.microStartsPerSecond, tasksInFlight + other.tasksInFlight);
    }

    /** Subtracts each part, down to 0. */
    public QuotaAmount minus(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(0, microStartsPerSecond - other.microStartsPerSecond),
                Math.max(0, tasksInFlight - other.tasksInFlight));
    }

    /** Returns half of each part, rounded down. */
    public QuotaAmount half() {
        return new QuotaAmount(microStartsPerSecond / 2, tasksInFlight / 2);
    }

    /** Returns the lesser of each part. */
    public QuotaAmount min(QuotaAmount other) {
        return new QuotaAmount(
                Math.min(microStartsPerSecond, other.microStartsPerSecond),
                Math.min(tasksInFlight, other.tasksInFlight));
    }

    /** Returns the greater of each part. */
    public QuotaAmount max(QuotaAmount other) {
        return new QuotaAmount(
                Math.max(microStartsPerSecond, other.microStartsPerSecond),
                Math.max(tasksInFlight, other.tasksInFlight));
    }
}
