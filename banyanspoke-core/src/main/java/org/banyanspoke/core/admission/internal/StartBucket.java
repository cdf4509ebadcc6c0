package org.banyanspoke.core.admission.internal;

import org.banyanspoke.core.quota.QuotaShares.Share;

/**
 * Token bucket for the starts of one team. It holds at most the starts of one second (and at least one start), so in any
 * interval of t seconds at most rate * (t + 1) tasks start.
 */
final class StartBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double rateWithoutLoansPerSecond;
    private long loanExpiresNanos = Long.MAX_VALUE;
    private double tokens;
    private long filledNanos;

    /** Starts full. */
    StartBucket(Share share, long nowNanos) {
        filledNanos = nowNanos;
        setShare(share, nowNanos);
        tokens = capacity();
    }

    /** Changes the rate from now on. Tokens above the new capacity are lost. */
    void setShare(Share share, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = share.startsPerSecond();
        rateWithoutLoansPerSecond = share.startsPerSecondWithoutLoans();
        loanExpiresNanos = share.loanExpiresNanos();
        refill(nowNanos);
        tokens = Math.min(tokens, capacity());
    }

    /** Returns the starts that are possible now. */
    double ready(long nowNanos) {
        refill(nowNanos);
        return tokens;
    }

    /** Returns the present rate. */
    double ratePerSecond(long nowNanos) {
        refill(nowNanos);
        return ratePerSecond;
    }

    /** Takes one start. The caller has checked that one is ready. */
    void take() {
        tokens -= 1;
    }

    private void refill(long nowNanos) {
        if (loanExpiresNanos != Long.MAX_VALUE && nowNanos - loanExpiresNanos >= 0) {
            fillUntil(Math.max(filledNanos, loanExpiresNanos));
            ratePerSecond = rateWithoutLoansPerSecond;
            loanExpiresNanos = Long.MAX_VALUE;
            tokens = Math.min(tokens, capacity());
        }
        fillUntil(nowNanos);
    }

    private void fillUntil(long nanos) {
        tokens = Math.min(capacity(), tokens + ratePerSecond * (nanos - filledNanos) / NANOS_PER_SECOND);
        filledNanos = nanos;
    }

    /** A share of zero holds nothing: the team may not start anything here. */
    private double capacity() {
        return ratePerSecond == 0 ? 0 : Math.max(1, ratePerSecond);
    }
}
