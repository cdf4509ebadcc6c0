package org.banyanspoke.core.quota;

/**
 * Portion of a team's quota that the configuration assigns to one host.
 *
 * @param equalShare portion that is divided evenly among all configured hosts
 * @param reserve portion held for loans to hosts that need more than their equal share
 */
public record QuotaAllocation(QuotaAmount equalShare, QuotaAmount reserve) {
    public static final QuotaAllocation ZERO = new QuotaAllocation(QuotaAmount.ZERO, QuotaAmount.ZERO);

    /** Returns the sum of equal share and reserve. */
    public QuotaAmount total() {
        return equalShare.plus(reserve);
    }

    /** Returns the upper limit of the amounts lent at the same time. */
    public QuotaAmount maxLent() {
        return equalShare.half().plus(reserve);
    }

    /** Returns the amount that this host never lends. */
    public QuotaAmount neverLent() {
        return total().minus(maxLent());
    }
}
