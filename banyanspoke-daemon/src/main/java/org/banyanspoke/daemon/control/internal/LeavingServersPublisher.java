package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.Set;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.membership.LeavingServers;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Publishes updates about leaving servers to this host's dispatcher and immediately to some members. Each receiver does
 * the same, so updates reach all members within a few round trips instead of several probe periods.
 */
public final class LeavingServersPublisher {
    /** Updates that arrive within this interval share messages, so a burst causes at most 10 rounds per second. */
    private static final long MIN_INTERVAL_MILLIS = 100;

    private final LeavingServers servers;
    private final Runnable disseminate;
    private final MonotonicClock clock;
    private final BehaviorProcessor<Set<ServerId>> leaving = BehaviorProcessor.createDefault(Set.of());
    private boolean pendingDissemination;
    private long lastDisseminatedMillis;

    /**
     * @param servers the updates about leaving servers
     * @param disseminate sends pending updates to some members
     * @param clock limits the rate
     */
    public LeavingServersPublisher(LeavingServers servers, Runnable disseminate, MonotonicClock clock) {
        this.servers = servers;
        this.disseminate = disseminate;
        this.clock = clock;
        this.lastDisseminatedMillis = clock.millis() - MIN_INTERVAL_MILLIS;
    }

    /** Streams the servers that must not receive new tasks, on the control thread, starting with the latest set. */
    public Flowable<Set<ServerId>> leaving() {
        return leaving.onBackpressureLatest();
    }

    /** Publishes new updates. Must be called periodically and after each event that may add updates. */
    public void publish() {
        if (servers.pollChanged()) {
            pendingDissemination = true;
            Set<ServerId> latest = servers.leaving();
            if (!latest.equals(leaving.getValue())) {
                leaving.onNext(latest);
            }
        }
        if (pendingDissemination && clock.millis() - lastDisseminatedMillis >= MIN_INTERVAL_MILLIS) {
            pendingDissemination = false;
            lastDisseminatedMillis = clock.millis();
            disseminate.run();
        }
    }
}
