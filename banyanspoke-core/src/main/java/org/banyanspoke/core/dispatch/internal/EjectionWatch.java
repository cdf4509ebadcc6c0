package org.banyanspoke.core.dispatch.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.dispatch.DispatchEvents;
import org.banyanspoke.core.dispatch.DispatcherStats.ServerView;
import org.banyanspoke.core.routing.ServerPool;

/** Reports servers that were set aside or taken back since the last look. */
final class EjectionWatch {
    /** Ejections last at least 5 s, so none is missed. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final ServerPool pool;
    private final DispatchEvents events;
    private Set<ServerId> ejected = new HashSet<>();
    private long lastNanos;

    EjectionWatch(ServerPool pool, DispatchEvents events, long nowNanos) {
        this.pool = pool;
        this.events = events;
        this.lastNanos = nowNanos;
    }

    void tick(long nowNanos) {
        if (nowNanos - lastNanos < INTERVAL_NANOS) {
            return;
        }
        lastNanos = nowNanos;
        Set<ServerId> now = new HashSet<>();
        for (ServerView view : pool.views()) {
            if (view.ejected()) {
                now.add(view.server());
            }
        }
        report(now, ejected, true);
        report(ejected, now, false);
        ejected = now;
    }

    private void report(Set<ServerId> in, Set<ServerId> notIn, boolean isEjected) {
        for (ServerId server : in) {
            if (!notIn.contains(server)) {
                events.ejection(server, isEjected);
            }
        }
    }
}
