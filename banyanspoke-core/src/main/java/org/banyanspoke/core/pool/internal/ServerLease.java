package org.banyanspoke.core.pool.internal;

import java.util.Collection;
import org.banyanspoke.core.pool.CallerContact;
import org.banyanspoke.core.pool.PoolSettings;
import org.banyanspoke.core.time.MonotonicClock;

/** Lease of the runs on one server. Its end is set on the server's clock, and judged on the clock of this process. */
final class ServerLease {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final PoolSettings settings;
    private final MonotonicClock clock;
    private final MonotonicClock inputClock;
    private final CallerContact contact;
    private final ServerClock serverClock;
    private long deadlineSentAtMillis = NEVER;

    /**
     * @param inputClock time up to which the replies that have arrived have been read
     * @param contact tells whether the callers of jobs still wait
     */
    ServerLease(PoolSettings settings, MonotonicClock clock, MonotonicClock inputClock, CallerContact contact) {
        this.settings = settings;
        this.clock = clock;
        this.inputClock = inputClock;
        this.contact = contact;
        this.serverClock = new ServerClock(clock);
    }

    ServerClock serverClock() {
        return serverClock;
    }

    /** Records that a command that may extend the lease is being sent now. */
    void recordDeadlineSent() {
        deadlineSentAtMillis = clock.millis();
    }

    /** Returns whether no run can be left on the server, judged by the replies that have been read. */
    boolean hasExpired() {
        return inputClock.millis() - deadlineSentAtMillis >= settings.leaseExpiryMillis();
    }

    /**
     * Returns the longest lease for all of these runs. It ends before any of their callers can have sent its job
     * elsewhere, even if this process is suspended right after the command. Not positive if there is no contact with a
     * caller. Runs that are being stopped do not count.
     */
    long maxMillis(Collection<Run> runs) {
        long maxMillis = settings.leaseMillis();
        for (Run run : runs) {
            if (!run.isStopping()) {
                maxMillis = Math.min(maxMillis, maxMillis(run));
            }
        }
        return maxMillis;
    }

    /** Returns the longest lease for a run; see {@link #maxMillis(Collection)}. */
    long maxMillis(Run run) {
        long contactAgeMillis = contact.ageMillis(run.key.task().job());
        return Math.min(settings.leaseMillis(), settings.contactValidityMillis() - contactAgeMillis);
    }

    /** Returns the end of a lease that starts now, on the clock of the server; earlier if the clock is not known well. */
    long deadlineMillis(long leaseMillis) {
        return serverClock.lowerBoundMillis() + leaseMillis;
    }
}
