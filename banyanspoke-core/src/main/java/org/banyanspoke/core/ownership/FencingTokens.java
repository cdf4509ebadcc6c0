package org.banyanspoke.core.ownership;

import java.util.function.LongSupplier;
import org.banyanspoke.core.pool.FencingTokenSource;

/**
 * Generates fencing tokens composed of a round and the registration number that the store assigned to this process. The
 * number makes tokens unique without a call to the store. Rounds follow the wall clock, so a new claim normally
 * supersedes older ones; if the clock is wrong, servers refuse the claim and the next round is tried.
 */
public final class FencingTokens implements FencingTokenSource {
    private static final int REGISTRATION_BITS = 18;
    private static final long MAX_REGISTRATION = (1L << REGISTRATION_BITS) - 1;
    /** Rounds are counted from 2020 so that tokens stay below 2^53, the limit for exact integers in JSON. */
    private static final long EPOCH_MILLIS = 1_577_836_800_000L;

    private static final long ROUND_DURATION_MILLIS = 10;

    private final LongSupplier wallClockMillis;
    private long registration;
    private long round;

    /**
     * @param wallClockMillis source of the Unix time in milliseconds
     */
    public FencingTokens(LongSupplier wallClockMillis) {
        this.wallClockMillis = wallClockMillis;
    }

    /**
     * Sets the registration number that the store assigned to this process.
     *
     * @throws IllegalArgumentException if the number is out of range
     */
    public void register(long registrationNumber) {
        if (registrationNumber < 0 || registrationNumber > MAX_REGISTRATION) {
            throw new IllegalArgumentException(
                    "registration number " + registrationNumber + " is not in the range 0 to " + MAX_REGISTRATION);
        }
        registration = registrationNumber;
    }

    /**
     * Starts a new claim.
     *
     * @param highestKnownRound highest round reported by other hosts
     * @return round of the claim
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
        long clockRound = (wallClockMillis.getAsLong() - EPOCH_MILLIS) / ROUND_DURATION_MILLIS;
        round = Math.max(round + 1, clockRound);
        return current();
    }
}
