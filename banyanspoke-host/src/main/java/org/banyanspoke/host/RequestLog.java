package org.banyanspoke.host;

import java.util.EnumMap;
import java.util.Map;
import org.banyanspoke.core.time.MonotonicClock;
import org.banyanspoke.daemon.logging.EventLog;
import org.jboss.logging.Logger;

/**
 * Rate-limited log of single requests. Lines above the limit of their kind are counted, and the count is logged at the
 * first event of that kind in a later second. Each kind has its own limit, so that successful requests cannot displace
 * failed ones.
 */
final class RequestLog {
    /** Kinds of request events, each with its rate limit. */
    enum Kind {
        /** A job completed within its latency target. */
        ANSWERED(20),
        /** A job completed after its latency target. */
        ANSWERED_LATE(40),
        /** A job was refused; none of it has run. */
        REFUSED(40),
        /** A job failed, or its outcome is unknown. */
        NOT_DONE(40),
        /** A caller cancelled a job. */
        CANCELLED(20),
        /** A run ended without success. */
        RUN_LOST(40),
        /** A task waited for a server near its data and started elsewhere. */
        NEAR_WAIT(20),
        /** The state of a backend server in the pool changed. */
        SERVER(60);

        private final int linesPerSecond;

        Kind(int linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    private static final long PERIOD_MILLIS = 1_000;
    private static final EventLog LOG = EventLog.of(RequestLog.class);

    private final MonotonicClock clock;
    private final Map<Kind, Window> windows = new EnumMap<>(Kind.class);

    private static final class Window {
        private long startMillis;
        private int lines;
        private int suppressed;
    }

    RequestLog(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Counts a line of a kind against its limit; returns whether it may be written. */
    boolean tryAcquire(Kind kind) {
        Window window = windows.computeIfAbsent(kind, key -> new Window());
        long nowMillis = clock.millis();
        if (nowMillis - window.startMillis >= PERIOD_MILLIS) {
            logSuppressed(kind, window);
            window.startMillis = nowMillis;
            window.lines = 0;
            window.suppressed = 0;
        }
        if (window.lines >= kind.linesPerSecond) {
            window.suppressed++;
            return false;
        }
        window.lines++;
        return true;
    }

    private static void logSuppressed(Kind kind, Window window) {
        if (window.suppressed > 0) {
            LOG.event(Logger.Level.INFO, "log lines suppressed by the rate limit")
                    .with("kind", kind)
                    .with("lines", window.suppressed)
                    .write();
        }
    }

    /** Starts a line; call only after {@link #tryAcquire} has returned true. */
    EventLog.Event line(Kind kind, String message) {
        return LOG.event(Logger.Level.INFO, message).with("kind", kind);
    }
}
