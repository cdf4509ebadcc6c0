package org.banyanspoke.core.ownership;

import java.util.function.LongSupplier;
import org.banyanspoke.core.pool.TokenSource;

/**
 * Tokens made of a round and the number that the store gave this process once. The number makes them distinct without a call
 * to the store. Rounds follow the wall clock, so that a new claim most likely beats older ones; if the clock was wrong the
 * servers refuse the claim and the next round is tried.
 */
public final class FencingTokens implements TokenSource {
    private static final int REGISTRATION_BITS = 18;
    private static final long LARGEST_REGISTRATION = (1L << REGISTRATION_BITS) - 1;
    /** Rounds count from 2020, so that tokens stay below 2^53, which any JSON reader keeps exactly. */
    private static final long ORIGIN_MILLIS = 1_577_836_800_000L;

    private static final long ROUND_MILLIS = 10;

    private final LongSupplier wallClockMillis;
    private long registration;
    private long round;

    /**
     * @param wallClockMillis Unix time in milliseconds
     */
    public FencingTokens(LongSupplier wallClockMillis) {
        this.wallClockMillis = wallClockMillis;
    }

    /**
     * Sets the number that the store gave this process.
     *
     * @throws IllegalArgumentException if it does not fit
     */
    public void register(long number) {
        if (number < 0 || number > LARGEST_REGISTRATION) {
            throw new IllegalArgumentException("registration " + number + " is not from 0 to " + LARGEST_REGISTRATION);
        }
        registration = number;
    }

    /**
     * Begins a new claim.
     *
     * @param highestKnownRound highest round that other hosts have told
     * @return its round
     */
    public long claim(long highestKnownRound) {
        round = Math.max(highestKnownRound, round);
        next();
        return round;
    }

    @Override
    public long current() {
        return round << REGISTRATION_BITS | registration;
    }

    @Override
    public long next() {
        long clockRound = (wallClockMillis.getAsLong() - ORIGIN_MILLIS) / ROUND_MILLIS;
        round = Math.max(round + 1, clockRound);
        return current();
    }
}
