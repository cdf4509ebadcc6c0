package org.banyanspoke.core.dispatch.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.dispatch.DispatcherStats.ServerView;
import org.banyanspoke.core.routing.ServerPool;

/** Polls the server pool and reports changes in the set of ejected servers to the listener. */
final class EjectionMonitor {
    /** Ejections last at least 5 s, so polling at this interval misses none. */
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final ServerPool pool;
    private final DispatcherListener listener;
    private Set<ServerId> ejected = new HashSet<>();
    private long lastPollNanos;

    EjectionMonitor(ServerPool pool, DispatcherListener listener, long nowNanos) {
        this.pool = pool;
        this.listener = listener;
        this.lastPollNanos = nowNanos;
    }

    void tick(long nowNanos) {
        if (nowNanos - lastPollNanos < POLL_INTERVAL_NANOS) {
            return;
        }
        lastPollNanos = nowNanos;
        Set<ServerId> now = new HashSet<>();
        for (ServerView view : pool.views()) {
            if (view.ejected()) {
                now.add(view.server());
            }
        }
        reportDifference(now, ejected, true);
        reportDifference(ejected, now, false);
        ejected = now;
    }

    private void reportDifference(Set<ServerId> servers, Set<ServerId> excluded, boolean nowEjected) {
        for (ServerId server : servers) {
            if (!excluded.contains(server)) {
                listener.ejectionChanged(server, nowEjected);
            }
        }
    }
}
