package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.Set;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.membership.LeavingServers;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Passes new statements about leaving servers on, to this host's dispatcher and to some members at once. Each receiver does
 * the same, so all know within a few round trips instead of some probe periods.
 */
public final class LeavingNews {
    /** Statements that arrive within this time share messages, so a burst of them costs at most 10 rounds a second. */
    private static final long MIN_INTERVAL_MILLIS = 100;

    private final LeavingServers servers;
    private final Runnable spread;
    private final MonotonicClock clock;
    private final BehaviorProcessor<Set<ServerId>> leaving = BehaviorProcessor.createDefault(Set.of());
    private boolean unsent;
    private long spreadMillis;

    /**
     * @param servers the statements
     * @param spread sends pending statements to some members
     * @param clock limits the rate
     */
    public LeavingNews(LeavingServers servers, Runnable spread, MonotonicClock clock) {
        this.servers = servers;
        this.spread = spread;
        this.clock = clock;
        this.spreadMillis = clock.millis() - MIN_INTERVAL_MILLIS;
    }

    /** Streams the servers that must receive no new work, on the control thread, starting with the latest set. */
    public Flowable<Set<ServerId>> leaving() {
        return leaving.onBackpressureLatest();
    }

    /** Passes new statements on. To be called after each event that may bring some, and regularly. */
    public void publish() {
        if (servers.pollChanged()) {
            unsent = true;
            Set<ServerId> latest = servers.leaving();
            if (!latest.equals(leaving.getValue())) {
                leaving.onNext(latest);
            }
        }
        if (unsent && clock.millis() - spreadMillis >= MIN_INTERVAL_MILLIS) {
            unsent = false;
            spreadMillis = clock.millis();
            spread.run();
        }
    }
}
