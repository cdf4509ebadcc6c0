package org.banyanspoke.core.pool;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.core.ownership.FencingTokens;

/** Creates pools whose servers, clocks and network are simulated. */
final class SimulatedPools {
    private static final long LEASE_MILLIS = 1_000;
    private static final long COMMAND_TIMEOUT_MILLIS = 150;
    private static final long RENEW_WAIT_MILLIS = 250;
    /** Time after the last contact with a caller within which the runs of its job end. */
    static final long CONTACT_VALIDITY_MILLIS = 1_000;
    /** Unix time of the start of the simulation, from which fencing tokens are derived. */
    private static final long ORIGIN_MILLIS = 1_800_000_000_000L;

    private SimulatedPools() {}

    /** Creates the first pool of a test, whose callers always wait. */
    static ServerPool create(SimulatedServers simulation, double remoteRackFactor, PoolListener listener) {
        return create(simulation, 1, remoteRackFactor, CallerContact.ALWAYS, listener);
    }

    /**
     * Creates a pool.
     *
     * @param registration number that makes the tokens of this pool distinct from those of others
     */
    static ServerPool create(
            SimulatedServers simulation,
            long registration,
            double remoteRackFactor,
            CallerContact contact,
            PoolListener listener) {
        FencingTokens tokens = new FencingTokens(() -> ORIGIN_MILLIS + simulation.millis());
        tokens.register(registration);
        tokens.claim(0);
        PoolSettings settings = new PoolSettings(
                LEASE_MILLIS, remoteRackFactor, COMMAND_TIMEOUT_MILLIS, RENEW_WAIT_MILLIS, CONTACT_VALIDITY_MILLIS);
        return ServerPool.create(
                simulation,
                tokens,
                settings,
                simulation,
                () -> TimeUnit.MILLISECONDS.toNanos(simulation.inputReadUntilMillis()),
                contact,
                listener);
    }
}
