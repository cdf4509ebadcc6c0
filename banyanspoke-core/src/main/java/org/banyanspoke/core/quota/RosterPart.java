package org.banyanspoke.core.quota;

/**
 * One host's part of a team's quota.
 *
 * @param even the part that every host of the roster has alike
 * @param reserve what this host holds for hosts that need more than their even part
 */
public record RosterPart(QuotaAmount even, QuotaAmount reserve) {
    /** No part. */
    public static final RosterPart NONE = new RosterPart(QuotaAmount.NONE, QuotaAmount.NONE);

    /** Returns the whole part. */
    public QuotaAmount whole() {
        return even.plus(reserve);
    }

    /** Returns the most that this host ever has lent at one time. */
    public QuotaAmount lendable() {
        return even.half().plus(reserve);
    }

    /** Returns what this host never lends. */
    public QuotaAmount kept() {
        return whole().minus(lendable());
    }
}
