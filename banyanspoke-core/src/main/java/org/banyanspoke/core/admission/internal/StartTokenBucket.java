package org.banyanspoke.core.admission.internal;

import org.banyanspoke.core.quota.QuotaShares.Share;

/**
 * Token bucket for the task starts of one team. Its capacity is the starts of one second, but at least one start. In
 * any interval of t seconds at most {@code rate * (t + 1)} tasks start, or {@code rate * t + 1} if the rate is below
 * 1/s.
 */
final class StartTokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double ratePerSecondWithoutLoans;
    private long loanExpiresNanos = Long.MAX_VALUE;
    private double tokens;
    private long lastRefillNanos;

    /** Creates a full bucket. */
    StartTokenBucket(Share share, long nowNanos) {
        lastRefillNanos = nowNanos;
        setShare(share, nowNanos);
        tokens = capacity();
    }

    /** Changes the rate. Tokens above the new capacity are discarded. */
    void setShare(Share share, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = share.startsPerSecond();
        ratePerSecondWithoutLoans = share.startsPerSecondWithoutLoans();
        loanExpiresNanos = share.loanExpiresNanos();
        refill(nowNanos);
        tokens = Math.min(tokens, capacity());
    }

    /** Returns the number of starts that are allowed now. */
    double availableTokens(long nowNanos) {
        refill(nowNanos);
        return tokens;
    }

    double ratePerSecond(long nowNanos) {
        refill(nowNanos);
        return ratePerSecond;
    }

    /** Takes one token. The caller must have checked that one is available. */
    void take() {
        tokens -= 1;
    }

    private void refill(long nowNanos) {
        if (loanExpiresNanos != Long.MAX_VALUE && nowNanos - loanExpiresNanos >= 0) {
            refillUntil(Math.max(lastRefillNanos, loanExpiresNanos));
            ratePerSecond = ratePerSecondWithoutLoans;
            loanExpiresNanos = Long.MAX_VALUE;
            tokens = Math.min(tokens, capacity());
        }
        refillUntil(nowNanos);
    }

    private void refillUntil(long nanos) {
        tokens = Math.min(capacity(), tokens + ratePerSecond * (nanos - lastRefillNanos) / NANOS_PER_SECOND);
        lastRefillNanos = nanos;
    }

    /** Returns the bucket size; 0 for a share of 0, with which the team may start nothing at this host. */
    private double capacity() {
        return ratePerSecond == 0 ? 0 : Math.max(1, ratePerSecond);
    }
}
